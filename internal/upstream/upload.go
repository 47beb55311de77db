package upstream

// upload is the writing of one request: at once, or beside the reading of its answer.
type upload struct {
	done    chan struct{} // closed when it is over; then what follows may be read
	written int
	err     error
}

// send writes a request, a long one beside what follows.
func (c *conn) startUpload(encoded []byte) {
	u := &upload{done: make(chan struct{})}
	c.upload = u
	if len(encoded) <= maxSynchronousWriteBytes {
		u.run(c, encoded)
		return
	}
	go u.run(c, encoded)
}

func (u *upload) run(c *conn, encoded []byte) {
	defer close(u.done)
	u.written, u.err = c.Write(encoded)
}

// wait waits until it is over; who waits has closed the connection or knows that it is.
func (u *upload) wait() (written int, err error) {
	<-u.done
	return u.written, u.err
}

// result tells what was written if it is over.
func (u *upload) result() (written int, err error, over bool) {
	select {
	case <-u.done:
		return u.written, u.err, true
	default:
		return 0, nil, false
	}
}
