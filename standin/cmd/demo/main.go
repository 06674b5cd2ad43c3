// Command demo runs the whole system on this machine as separate processes.
package main

func main() {}
