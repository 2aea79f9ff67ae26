package upstream

// Why attempts, uploads and streams end.

import "errors"

// Causes with which the context of an attempt is cancelled, and with which an upload or a stream is ended.
var (
	// ErrTimedOut is the cause when the time of an attempt is over.
	ErrTimedOut = errors.New("timed out")
	// ErrCancelled is the cause when nobody wants the attempt's response any more.
	ErrCancelled = errors.New("cancelled")
	// ErrRequestEnded ends an upload or a stream that nobody reads any more.
	ErrRequestEnded = errors.New("request ended")
	// ErrStalled ends an upload or a stream of which no byte, or too few, passed for too long.
	ErrStalled = errors.New("stream stalled")
)

// ErrBackendDisabled is returned by CheckSendable for a backend to which operators forbid to send.
var ErrBackendDisabled = errors.New("backend detached by operators")

// Why nothing of a request was written, or its connection can't be used.
var (
	errConnLimit          = errors.New("no file descriptor left for another connection")
	errEndpointChanged    = errors.New("endpoint changed")
	errAlreadyAnswered    = errors.New("request already answered")
	errRetryWindowOver    = errors.New("the backend no longer deduplicates the retry")
	errResidencyForbidden = errors.New("forbidden by the residency policy")
	errUnsolicitedBytes   = errors.New("unsolicited bytes on the connection")
	errClosedWhileIdle    = errors.New("connection closed by the backend while idle")
)

// errTooLarge is why a response is not read.
var errTooLarge = errors.New("response too large")
