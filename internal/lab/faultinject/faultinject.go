// Package faultinject builds a program of this module for tests, with a wall clock that can be stepped and system calls that
// can be made to fail. The program's sources stay unchanged: a build overlay adds hooks to some functions of the standard
// library, and adds to the program a goroutine that reads a control file.
//
// Build supports Linux on amd64 and arm64. The hooks do not cover calls from C, nor calls by the Go runtime except epoll_ctl.
package faultinject

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ControlVariable is the environment variable from which a program that Build has built reads the path of its control file.
const ControlVariable = "INJECT_CONTROL"

// The system calls that a Failure can make fail.
const (
	Accept     = "accept4"
	Open       = "openat"
	Read       = "read"
	Write      = "write"
	Rename     = "renameat"
	Lock       = "flock"
	Connect    = "connect"
	Socket     = "socket"
	Bind       = "bind"
	Listen     = "listen"
	Receive    = "recvfrom" // of datagrams
	Send       = "sendto"   // of datagrams
	Option     = "setsockopt"
	Name       = "getsockname"
	Descriptor = "fcntl"
	EpollAdd   = "epoll_ctl" // adding a descriptor; only Errno and Times apply
)

// Failure makes a system call fail.
type Failure struct {
	Call  string        `json:"call"`
	Errno syscall.Errno `json:"errno"`
	Path  string        `json:"path"`  // part of the file's name, or "client:" with the IPv4 address and port of a connection's remote end; "": any
	Times int           `json:"times"` // number of calls that fail; 0: all while the plan is in force
	Skip  int           `json:"skip"`  // number of matching calls that run normally before the first failure
	Kill  bool          `json:"kill"`  // the process gets SIGKILL in place of the failure
}

// Plan is the set of faults of a program. A new plan replaces the previous one.
type Plan struct {
	Number   int           `json:"number"` // set by Apply
	Wall     time.Duration `json:"wall"`   // added to the wall clock; whole seconds only
	Failures []Failure     `json:"failures"`
}

// Control sends plans to one program.
type Control struct {
	Path   string // the path in ControlVariable; it must contain "INJECT", so that calls on the control file never fail
	number int
}

// Write writes a plan to the control file and returns without waiting for the program. A program that is not running puts
// the plan in force at its next start.
func (c *Control) Write(p Plan) error {
	c.number++
	p.Number = c.number
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Path+".next", text, 0o600); err != nil {
		return err
	}
	return os.Rename(c.Path+".next", c.Path)
}

// acknowledgeTimeout bounds the time until a running program confirms a plan.
const acknowledgeTimeout = 5 * time.Second

// Apply puts a plan in force in the running program, and returns once the program confirms it. It returns an error if the
// program does not confirm the plan within acknowledgeTimeout.
func (c *Control) Apply(p Plan) error {
	if err := c.Write(p); err != nil {
		return err
	}
	for end := time.Now().Add(acknowledgeTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		text, err := os.ReadFile(c.Path + ".followed")
		if err == nil && string(text) == strconv.Itoa(c.number) {
			return nil
		}
	}
	return fmt.Errorf("the program did not confirm plan %d within %v", c.number, acknowledgeTimeout)
}

// hookedCalls are the functions of the standard library that call the hook before a system call. For each function,
// descriptor and path are the hook's arguments, and onFailure is the statement that sets the results of a failed call.
var hookedCalls = []struct{ call, signature, descriptor, path, onFailure string }{
	{Accept, "func accept4(s int, rsa *RawSockaddrAny, addrlen *_Socklen, flags int) (fd int, err error) {", "s", `""`, "fd, err = -1, e"},
	{Open, "func openat(dirfd int, path string, flags int, mode uint32) (fd int, err error) {", "-1", "path", "fd, err = -1, e"},
	{Read, "func read(fd int, p []byte) (n int, err error) {", "fd", `""`, "n, err = -1, e"},
	{Write, "func write(fd int, p []byte) (n int, err error) {", "fd", `""`, "n, err = -1, e"},
	{Rename, "func Renameat(olddirfd int, oldpath string, newdirfd int, newpath string) (err error) {", "-1", "newpath", "err = e"},
	{Lock, "func Flock(fd int, how int) (err error) {", "fd", `""`, "err = e"},
	{Connect, "func connect(s int, addr unsafe.Pointer, addrlen _Socklen) (err error) {", "s", `""`, "err = e"},
	{Socket, "func socket(domain int, typ int, proto int) (fd int, err error) {", "-1", `""`, "fd, err = -1, e"},
	{Bind, "func bind(s int, addr unsafe.Pointer, addrlen _Socklen) (err error) {", "s", `""`, "err = e"},
	{Listen, "func Listen(s int, n int) (err error) {", "s", `""`, "err = e"},
	{Receive, "func recvfrom(fd int, p []byte, flags int, from *RawSockaddrAny, fromlen *_Socklen) (n int, err error) {", "fd", `""`, "n, err = -1, e"},
	{Send, "func sendto(s int, buf []byte, flags int, to unsafe.Pointer, addrlen _Socklen) (err error) {", "s", `""`, "err = e"},
	{Option, "func setsockopt(s int, level int, name int, val unsafe.Pointer, vallen uintptr) (err error) {", "s", `""`, "err = e"},
	{Name, "func getsockname(fd int, rsa *RawSockaddrAny, addrlen *_Socklen) (err error) {", "fd", `""`, "err = e"},
	{Descriptor, "func fcntl(fd int, cmd int, arg int) (val int, err error) {", "fd", `""`, "val, err = -1, e"},
}

//go:embed control.go.txt
var controlSource string

// patch replaces one text in a file of the standard library. The text must occur exactly once.
type patch struct{ old, new string }

var errUnknownToolchain = errors.New("the standard library's source does not match the patches of this package")

// Build builds a program of the module at root, such as "./cmd/agent", with the hooks. It writes to dir and returns the path
// of the executable there. The error wraps errUnknownToolchain if a patch does not match the installed standard library.
func Build(ctx context.Context, root, program, dir string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return "", fmt.Errorf("go env: %w", err)
	}
	std := filepath.Join(strings.TrimSpace(string(out)), "src")
	var hooks []patch
	for _, h := range hookedCalls {
		hooks = append(hooks, patch{h.signature, fmt.Sprintf("%s\n\tif f := Fails; f != nil {\n\t\tif e := f(%q, %s, %s); e != 0 {\n\t\t\t%s\n\t\t\treturn\n\t\t}\n\t}",
			h.signature, h.call, h.descriptor, h.path, h.onFailure)})
	}
	patches := map[string][]patch{
		"time/time.go": {{"func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n", "// WallOffset is added to the wall clock, in seconds.\nvar WallOffset int64\n\nfunc Now() Time {\n\tsec, nsec, mono := runtimeNow()\n\tsec += WallOffset\n"}},
		"syscall/zsyscall_linux_" + runtime.GOARCH + ".go": hooks,
		"internal/runtime/syscall/linux/syscall_linux.go": {{"func EpollCtl(epfd, op, fd int32, event *EpollEvent) (errno uintptr) {\n",
			"// EpollFailures is the number of further calls to add a descriptor that fail with EpollErrno.\nvar EpollFailures int32\nvar EpollErrno uintptr\n\nfunc EpollCtl(epfd, op, fd int32, event *EpollEvent) (errno uintptr) {\n\tif EpollFailures > 0 && op == 1 {\n\t\tEpollFailures--\n\t\treturn EpollErrno\n\t}\n"}},
		"syscall/syscall_linux.go": {{"func EpollCreate(size int)", "// Fails returns the error of a system call that must fail, or 0.\nvar Fails func(call string, fd int, path string) Errno\n\n// FailEpoll makes the next calls that add a descriptor fail.\nfunc FailEpoll(times, errno uintptr) { linux.EpollErrno, linux.EpollFailures = errno, int32(times) }\n\nfunc EpollCreate(size int)"}},
	}
	replace := map[string]string{}
	for name, list := range patches {
		file := filepath.Join(dir, strings.ReplaceAll(name, "/", "_"))
		if err := writePatched(filepath.Join(std, name), file, list); err != nil {
			return "", err
		}
		replace[filepath.Join(std, name)] = file
	}
	control := filepath.Join(dir, "control.go")
	if err := os.WriteFile(control, []byte(controlSource), 0o600); err != nil {
		return "", err
	}
	abs, err := filepath.Abs(filepath.Join(root, program, "inject_control.go"))
	if err != nil {
		return "", err
	}
	replace[abs] = control
	return link(ctx, root, program, dir, replace)
}

// writePatched writes a patched copy of a file. The error wraps errUnknownToolchain if a patch does not match exactly once.
func writePatched(from, to string, patches []patch) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	changed := string(text)
	for _, p := range patches {
		if strings.Count(changed, p.old) != 1 {
			return fmt.Errorf("%w: %s: %q", errUnknownToolchain, from, p.old)
		}
		changed = strings.Replace(changed, p.old, p.new, 1)
	}
	return os.WriteFile(to, []byte(changed), 0o600)
}

// link builds the program with the overlay, and returns the path of the executable.
func link(ctx context.Context, root, program, dir string, replace map[string]string) (string, error) {
	text, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlay, text, 0o600); err != nil {
		return "", err
	}
	path := filepath.Join(dir, filepath.Base(program))
	cmd := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", path, program)
	cmd.Dir, cmd.Env = root, append(os.Environ(), "CGO_ENABLED=0")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return path, nil
}
