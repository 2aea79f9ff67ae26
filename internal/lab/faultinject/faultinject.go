// Package faultinject builds a program of this module whose wall clock can be stepped and whose system calls can be made to
// fail, for tests. The program's own sources stay as they are: a build overlay adds hooks to a few functions of the
// standard library, and to the program a goroutine that follows a control file.
//
// What it can't reach: calls that the runtime makes by itself, but for epoll_ctl, and calls from C.
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
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ControlVariable is the environment variable that names the control file of a program that was built here.
const ControlVariable = "INJECT_CONTROL"

// Names of system calls that a Failure may name.
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
	Send       = "sendto"   // the same
	Option     = "setsockopt"
	Name       = "getsockname"
	Descriptor = "fcntl"
	EpollAdd   = "epoll_ctl" // by count alone
)

// Failure makes a system call fail.
type Failure struct {
	Call  string        `json:"call"`
	Errno syscall.Errno `json:"errno"`
	Path  string        `json:"path"`  // part of the name of the file; "client:" and an IPv4 address: the other side of a connection; "": any
	Times int           `json:"times"` // 0: as long as the plan is in force
	Skip  int           `json:"skip"`  // so many such calls are made before
	Kill  bool          `json:"kill"`  // in place of the failure the process is killed, with the call not made
}

// Plan is what a program is to suffer from now on, in place of the plan before.
type Plan struct {
	Number   int           `json:"number"` // set by Apply
	Wall     time.Duration `json:"wall"`   // by which the wall clock is off, in whole seconds
	Failures []Failure     `json:"failures"`
}

// Control steers one program.
type Control struct {
	Path   string // of the control file; ControlVariable names it to the program
	number int
}

// Write puts a plan in force at the program's next start.
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

// acknowledgeTimeout bounds how long a running program may take to follow a plan.
const acknowledgeTimeout = 5 * time.Second

// Apply puts a plan in force in the running program, and returns once it is.
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
	return fmt.Errorf("plan %d is not followed within %v", c.number, acknowledgeTimeout)
}

// hookedCalls are the functions of the standard library that ask before a system call, with what tells the file.
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

// patch replaces one text of a file of the standard library by another, each time it must be there.
type patch struct{ old, new string }

var errUnknownToolchain = errors.New("the standard library is not the one that this package knows")

// Build builds a program of the module at root, such as "./cmd/agent", with the hooks, and returns its path in dir.
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
		"time/time.go":                    {{"func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n", "// WallOffset is by how many seconds the wall clock is off.\nvar WallOffset int64\n\nfunc Now() Time {\n\tsec, nsec, mono := runtimeNow()\n\tsec += WallOffset\n"}},
		"syscall/zsyscall_linux_amd64.go": hooks,
		"internal/runtime/syscall/linux/syscall_linux.go": {{"func EpollCtl(epfd, op, fd int32, event *EpollEvent) (errno uintptr) {\n",
			"// EpollFailures is how often adding a descriptor fails, with EpollErrno.\nvar EpollFailures int32\nvar EpollErrno uintptr\n\nfunc EpollCtl(epfd, op, fd int32, event *EpollEvent) (errno uintptr) {\n\tif EpollFailures > 0 && op == 1 {\n\t\tEpollFailures--\n\t\treturn EpollErrno\n\t}\n"}},
		"syscall/syscall_linux.go": {{"func EpollCreate(size int)", "// Fails says why a system call fails; 0: it is made.\nvar Fails func(call string, fd int, path string) Errno\n\n// FailEpoll has adding descriptors fail.\nfunc FailEpoll(times, errno uintptr) { linux.EpollErrno, linux.EpollFailures = errno, int32(times) }\n\nfunc EpollCreate(size int)"}},
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

// writePatched writes a changed copy of a file.
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

// link builds the program with the overlay.
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
