// Package forms holds tests alone: they pin, as bytes, what this program writes for others and for itself to read later
// (wire messages, stored files, reports, keys of configurations), and read what an earlier commit has stored.
//
// The files in testdata were written by the program. A change of one is a change of a form that other processes, or a
// later process, rely on. To write them anew on purpose: go test ./internal/forms -update, which is refused where the
// environment variable CI is set.
package forms
