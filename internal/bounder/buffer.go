package bounder

import "syscall"

// LimitBuffers is that of net.ListenConfig. Connections take over the sizes of the listener.
func (b *Bounder) LimitBuffers(_, _ string, raw syscall.RawConn) error {
	if b.limits.Buffer <= 0 {
		return nil
	}
	return raw.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			// A system that refuses has buffers of its own size.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, int(b.limits.Buffer))
		}
	})
}
