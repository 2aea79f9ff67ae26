// Package forms contains only golden tests of the program's external formats: wire messages, stored files, reports and
// configuration keys. The tests compare what the program writes byte for byte with the files in testdata, and read files
// that an earlier commit has written.
//
// A changed file in testdata means that a format has changed. Other processes, or a later process of this program, rely on
// the formats.
// go test ./internal/forms -update rewrites the files after an intended change; it fails where the environment variable
// CI is set.
package forms
