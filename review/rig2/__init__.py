"""Stand-ins and process control shared by the scripts of the second review (cases 6 to 10).

Standard library only. Every address is a loopback address, every port a free one, every file but `record.txt`
in a temporary folder."""
