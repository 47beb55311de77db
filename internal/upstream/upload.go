package upstream

// upload is the writing of one request to its connection. It may run concurrently with the reading of
// the response.
type upload struct {
	done    chan struct{} // closed when the write has finished; the fields below may be read only after that
	written int           // bytes
	err     error
}

// startUpload writes an encoded request: a short one before it returns, a long one in the background.
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

// wait waits until the write has finished. The caller must have closed the connection or know that it
// is closed, or else wait could block on a peer that doesn't read.
func (u *upload) wait() (written int, err error) {
	<-u.done
	return u.written, u.err
}

// result returns the outcome of the write if it has finished, without blocking.
func (u *upload) result() (written int, err error, finished bool) {
	select {
	case <-u.done:
		return u.written, u.err, true
	default:
		return 0, nil, false
	}
}
