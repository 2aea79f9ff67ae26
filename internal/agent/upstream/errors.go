package upstream

// This file defines the errors with which attempts, uploads and streams end.

import "errors"

// Causes for the cancellation of an attempt's context, and errors that end an upload or a stream.
var (
	// ErrTimedOut is the cause when an attempt has exceeded its time.
	ErrTimedOut = errors.New("timed out")
	// ErrCancelled is the cause when the attempt's response is no longer needed.
	ErrCancelled = errors.New("cancelled")
	// ErrRequestEnded ends an upload or a stream that has no reader any more.
	ErrRequestEnded = errors.New("request ended")
	// ErrStalled ends an upload or a stream that made no progress, or too little, for too long.
	ErrStalled = errors.New("stream stalled")
)

// ErrBackendDisabled is returned by CheckSendable for a backend that operators have detached.
var ErrBackendDisabled = errors.New("backend detached by operators")

// Reasons why nothing of a request was written, or why its connection can't be used.
var (
	errConnLimit          = errors.New("connection limit reached and no connection is idle")
	errEndpointChanged    = errors.New("endpoint changed")
	errAlreadyAnswered    = errors.New("request already answered")
	errRetryWindowOver    = errors.New("the backend no longer deduplicates the retry")
	errResidencyForbidden = errors.New("forbidden by the residency policy")
	errUnsolicitedBytes   = errors.New("unsolicited bytes on the connection")
	errClosedWhileIdle    = errors.New("connection closed by the backend while idle")
)

// errHeaderMemory is the error for a response whose header finds no memory.
var errHeaderMemory = errors.New("no memory for the response's header")

// errTooLarge is the error for a response of more than MaxStreamBytes.
var errTooLarge = errors.New("response too large")
