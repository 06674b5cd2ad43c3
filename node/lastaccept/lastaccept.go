// Package lastaccept closes a TCP listener without breaking the connections that the kernel has
// accepted and the process has not yet: closing a listener resets them, though their callers may
// have sent requests already.
package lastaccept

import (
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxWaiting bounds the connections that are taken at the close; it is the kernel's usual bound
// of those that wait (net.core.somaxconn).
const maxWaiting = 4096

// Listener is a TCP listener whose Close first takes the connections that wait. Accept returns
// them before it fails with net.ErrClosed.
type Listener struct {
	*net.TCPListener
	once sync.Once
	// taken holds the connections that Close took; it is closed when they are complete.
	taken chan net.Conn
	err   error
}

// Wrap returns a Listener over l, which must be a TCP listener.
func Wrap(l net.Listener) (*Listener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Newf("a %T is no TCP listener", l)
	}
	return &Listener{TCPListener: tcp, taken: make(chan net.Conn, maxWaiting)}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil || !errors.Is(err, net.ErrClosed) {
		return c, err
	}
	if c, ok := <-l.taken; ok {
		return c, nil
	}
	return nil, err
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		waiting, err := l.waiting()
		l.err = errors.CombineErrors(l.TCPListener.Close(), err)
		for _, fd := range waiting {
			c, err := connection(fd)
			if err != nil {
				l.err = errors.CombineErrors(l.err, err)
				continue
			}
			l.taken <- c
		}
		close(l.taken)
	})
	return l.err
}

// waiting accepts what waits, without waiting for more.
func (l *Listener) waiting() (fds []int, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "listener")
	}
	err = raw.Control(func(fd uintptr) {
		for len(fds) < maxWaiting {
			c, _, e := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.IsAny(e, unix.EINTR, unix.ECONNABORTED) {
				continue
			}
			if e != nil {
				return
			}
			fds = append(fds, c)
		}
	})
	return fds, errors.Wrap(err, "listener")
}

func connection(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close()
	c, err := net.FileConn(file)
	return c, errors.Wrap(err, "accepted connection")
}
