"""The core: requests, attempts and outcomes, independent of protocols; imports no network code."""
