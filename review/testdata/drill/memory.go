package main

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// memoryPeriod is the time between two looks at the memory of a sidecar.
const memoryPeriod = 10 * time.Millisecond

// watchMemory kills a sidecar whose resident memory exceeds the limit, as the platform does.
func (d *deployment) watchMemory(m *machine, cmd *exec.Cmd, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryPeriod):
		}
		if used := residentBytes(cmd.Process.Pid); used > d.maxMemory {
			d.record.write("memory %s uses %d MiB, more than its limit: the platform kills it", m.name, used>>20)
			_ = cmd.Process.Kill()
			return
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it is not known.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}
