package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/command"
)

// TestSidecarSurvivesHangupWhileItStarts sends SIGHUP while the settings are being read.
func TestSidecarSurvivesHangupWhileItStarts(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
	exit := make(chan int)
	var out, errOut bytes.Buffer
	go func() { exit <- command.Run([]string{"sidecar", "--settings", path}, &out, &errOut) }()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the command reads the file
	c.Assert(err, qt.IsNil)
	c.Assert(hangUpCallingThread(), qt.Equals, syscall.Errno(0))
	_, err = file.WriteString("invalid")
	c.Assert(err, qt.IsNil)
	c.Assert(file.Close(), qt.IsNil)
	c.Assert(<-exit, qt.Equals, command.ExitUsage)
}

// hangUpCallingThread sends SIGHUP to the calling thread, where it arrives before the call returns. A signal to the process
// may arrive at any later time, also after the command has ended.
func hangUpCallingThread() syscall.Errno {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	_, _, errno := syscall.RawSyscall(syscall.SYS_TGKILL, uintptr(os.Getpid()), uintptr(syscall.Gettid()), uintptr(syscall.SIGHUP))
	return errno
}
