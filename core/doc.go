// Package core is the parent of the packages that implement the decision logic.
//
// The packages below it do no I/O, start no goroutines and read no clock. Time is
// passed in as a parameter, and effects are returned as values.
package core
