// Package forms contains only golden tests of the program's external formats: wire messages, stored files, reports and
// configuration keys. The tests compare what the program writes byte for byte with the files in testdata, and read files
// that an earlier commit has written.
//
// A changed file in testdata means a changed format, on which other processes or a later process of this program rely.
// go test ./internal/forms -update rewrites the files after an intended change; it fails where the environment variable
// CI is set.
package forms
