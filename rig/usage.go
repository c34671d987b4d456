package rig

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process.
type Usage struct {
	cpu      time.Duration
	resident int64
}

// CPU returns the user and system CPU time since the start of the process.
func (u Usage) CPU() time.Duration { return u.cpu }

// Resident returns the resident memory in bytes.
func (u Usage) Resident() int64 { return u.resident }

// PeakMemory returns the greatest resident size of the process so far, in bytes.
func (p *Process) PeakMemory() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("%s: no peak memory in the status of the process", p.name)
}

// Usage reads the current resource usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	// Counted from the field after the process name in parentheses, user and system time are the 12th and 13th field,
	// resident pages the 22nd. The name itself may contain spaces.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return Usage{}, fmt.Errorf("%s: stat file has too few fields", p.name)
	}
	var numbers [3]int64
	for i, field := range []int{userTime, systemTime, residentPages} {
		if numbers[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		cpu:      time.Duration(numbers[0]+numbers[1]) * clockTick,
		resident: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
