package tcp

import "syscall"

// DescriptorLimit returns the number of descriptors that the operating system allows the process, 0 if it cannot be read.
func DescriptorLimit() int64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int64(limit.Cur)
}
