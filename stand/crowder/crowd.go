package crowder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
)

// Crowd is a number of clients that all send the same to one address.
type Crowd struct {
	Address string
	// Connections is the number of clients, each with one connection at a time. Each of them
	// sends its message Requests times, the next one after the reply to the last one, on a
	// new connection if that was closed.
	Connections, Requests int
	Message               Message
	// PieceSize is how much of a message is written at a time; zero stands for maxWrite.
	PieceSize int
	// Unread is set if replies are not read before the clients leave.
	Unread bool
	// Streams is the number of requests that each connection has at a time over HTTP/2; zero
	// stands for HTTP/1.1. Each of them announces one byte more than the message's body.
	Streams int
}

// clients returns the number of clients that send independently.
func (c *Crowd) clients() int { return c.Connections * max(c.Streams, 1) }

// AwaitsReplies reports whether the clients get a reply to each message.
func (c *Crowd) AwaitsReplies() bool { return !c.Unread && !c.Message.Unfinished }

// Message is what a client sends.
type Message struct {
	// Head returns the part that names the job.
	Head func(cowslipbend.JobID) []byte
	// Body is the rest, which all clients share.
	Body []byte
	// Submits is set if it submits the job.
	Submits bool
	// Unfinished is set if it stops short of its end, so that no reply is due.
	Unfinished bool
}

// Reply is what a client got for a message.
type Reply struct {
	ID cowslipbend.JobID
	// Status is zero if no complete reply came.
	Status int
	// Submits is set if the message submits the job.
	Submits bool
}

// IsRefusal reports whether the reply says that the job was not accepted.
func (r *Reply) IsRefusal() bool {
	return r.Status >= http.StatusBadRequest && r.Status < http.StatusInternalServerError || r.Status == http.StatusServiceUnavailable
}

// IsAcceptance reports whether the reply says that the job was accepted.
func (r *Reply) IsAcceptance() bool {
	return r.Submits && r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

const (
	maxWrite = 32 << 10 // bytes
	// quietTime is for how long no client makes progress in a crowd that has settled.
	quietTime       = 2 * time.Second
	settledInterval = 20 * time.Millisecond
	// statusTimeout bounds the wait for the status of a reply that was not read before.
	statusTimeout = time.Second
)

// Play is a crowd while it is there.
type Play struct {
	crowd   *Crowd
	ctx     context.Context
	leave   context.CancelFunc
	clients errgroup.Group
	// progress counts reads and writes, idle the clients that have sent all their messages.
	progress, idle atomic.Int64

	mu      sync.Mutex
	replies []Reply
	faults  []string
}

// Start has all clients connect and send.
func (c *Crowd) Start() *Play {
	p := &Play{crowd: c}
	p.ctx, p.leave = context.WithCancel(context.Background())
	for range c.Connections {
		if c.Streams == 0 {
			p.clients.Go(p.runClient)
			continue
		}
		transport := newHTTP2()
		for range c.Streams {
			p.clients.Go(func() error { return p.runStream(transport) })
		}
	}
	return p
}

// WaitUntilIdle waits until all clients have sent what they send and read the replies that are
// due.
func (p *Play) WaitUntilIdle(ctx context.Context) {
	for ctx.Err() == nil && p.Idle() < p.crowd.clients() {
		sleep(ctx, settledInterval)
	}
}

// WaitUntilSettled waits for that too, or until none of them makes progress any more.
func (p *Play) WaitUntilSettled(ctx context.Context) {
	last, since := p.progress.Load(), time.Now()
	for ctx.Err() == nil && p.Idle() < p.crowd.clients() && time.Since(since) < quietTime {
		sleep(ctx, settledInterval)
		if n := p.progress.Load(); n != last {
			last, since = n, time.Now()
		}
	}
}

// Idle returns the number of clients that have sent what they send and read the replies that
// are due.
func (p *Play) Idle() int { return int(p.idle.Load()) }

// Leave has all clients close their connections. It returns what they got for each message,
// and descriptions of replies that are not HTTP.
func (p *Play) Leave() (replies []Reply, faults []string) {
	p.leave()
	_ = p.clients.Wait() // No client returns an error.
	return p.replies, p.faults
}

// runClient sends the messages of one client, and keeps the last connection open until the
// clients leave.
func (p *Play) runClient() error {
	becomeIdle := sync.OnceFunc(func() { p.idle.Add(1) })
	defer becomeIdle()
	var c *conn
	for n := 1; n <= p.crowd.Requests; n++ {
		if c == nil {
			if c = p.connect(); c == nil {
				return nil
			}
		}
		sent := func() {}
		if n == p.crowd.Requests && (p.crowd.Message.Unfinished || p.crowd.Unread) {
			sent = becomeIdle
		}
		if !p.request(c, sent) {
			c.close()
			c = nil
		}
	}
	becomeIdle()
	if c != nil {
		<-p.ctx.Done()
		c.close()
	}
	return nil
}

// conn is a connection of a client. Its reads count as progress.
type conn struct {
	net.Conn
	progress *atomic.Int64
	reader   *bufio.Reader
	// release ends the watch for the end of the play.
	release func() bool
}

// Read reads data.
func (c *conn) Read(data []byte) (int, error) {
	c.progress.Add(1)
	return c.Conn.Read(data)
}

func (c *conn) close() {
	c.release()
	c.Close()
}

// connect returns a connection, or nil if there is none before the clients leave. Reads and
// writes end as they leave.
func (p *Play) connect() *conn {
	dialer := net.Dialer{}
	if p.crowd.Unread {
		dialer.Control = shrinkReceiveBuffer
	}
	dialled, err := dialer.DialContext(p.ctx, "tcp", p.crowd.Address)
	if err != nil {
		return nil
	}
	p.progress.Add(1)
	c := &conn{Conn: dialled, progress: &p.progress}
	c.reader = bufio.NewReader(c)
	c.release = context.AfterFunc(p.ctx, func() {
		past := time.Unix(1, 0)
		_ = c.SetWriteDeadline(past) // The connection may be closed already.
		if !p.crowd.Unread {
			_ = c.SetReadDeadline(past)
		}
	})
	return c
}

// shrinkReceiveBuffer has the kernel take as little as possible of what is not read.
func shrinkReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
	})
	return errors.Join(controlErr, err)
}

// request sends the message, calls sent, and waits for the reply. It reports whether the
// connection can be used again.
func (p *Play) request(c *conn, sent func()) bool {
	r := Reply{ID: newJobID(), Submits: p.crowd.Message.Submits}
	var writer errgroup.Group
	writer.Go(func() error {
		defer sent()
		return p.write(c, r.ID)
	})
	if p.crowd.Unread {
		<-p.ctx.Done()
		_ = writer.Wait() // The reply tells whether the message arrived.
		_ = c.SetReadDeadline(time.Now().Add(statusTimeout))
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err == nil && !p.crowd.Unread {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err == nil {
		r.Status = resp.StatusCode
	}
	again := err == nil && !resp.Close && p.ctx.Err() == nil
	if !again {
		c.Close()
	}
	again = writer.Wait() == nil && again
	p.record(r, err)
	return again
}

// write writes the message in pieces.
func (p *Play) write(c *conn, id cowslipbend.JobID) error {
	size := p.crowd.PieceSize
	if size == 0 {
		size = maxWrite
	}
	for _, part := range [][]byte{p.crowd.Message.Head(id), p.crowd.Message.Body} {
		for len(part) > 0 {
			n := min(size, len(part))
			if _, err := c.Write(part[:n]); err != nil {
				return err
			}
			part = part[n:]
			p.progress.Add(1)
		}
	}
	return nil
}

// record records a reply, and a fault if it can't be parsed.
func (p *Play) record(r Reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies = append(p.replies, r)
	_, isNetwork := errors.AsType[net.Error](err)
	if err != nil && !isNetwork && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) {
		p.faults = append(p.faults, fmt.Sprintf("reply to %s: %s", r.ID, err))
	}
}

// lastJob numbers the jobs of the package.
var lastJob atomic.Int64

// newJobID returns an id that no other job has.
func newJobID() cowslipbend.JobID {
	return cowslipbend.JobID(fmt.Sprintf("%016x", lastJob.Add(1)))
}
