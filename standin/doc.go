// Package standin is the root of the stand-ins: simplified substitutes for the systems around
// auburnrelay (the platform's object store, targets and callers). Only tests, measurements and the
// demonstration use them.
package standin
