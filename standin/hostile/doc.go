// Package hostile contains tests of the node daemon (package node/sidecar) against clients that try to exhaust its
// memory, file descriptors or connections, and against targets whose answers are broken. They start the daemon as a
// process of its own and check what does not depend on the machine's speed: the process lives, memory and descriptors
// stay within its settings, ordinary requests are answered, and no broken answer looks whole.
package hostile
