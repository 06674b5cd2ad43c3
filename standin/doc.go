// Package standin is the root of the small stand-ins for outside systems: the platform's
// object store, targets and callers. They serve tests and the demonstration only.
package standin
