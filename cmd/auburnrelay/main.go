// Command auburnrelay is the node daemon and the operators' command line.
package main

func main() {}
