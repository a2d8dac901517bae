// The system that the tests of the drivers stand on (net_fault_injection.cpp): in place of the real calls,
// one that falls short of threads, descriptors and room to watch them, or whose bounded waits end early, when
// a test wants it to.
#pragma once

#include <atomic>
#include <cstdint>

// Of so many starts in a hundred none comes about, but for those of threads that are spared.
extern std::atomic<std::uint32_t> resource_failure_percent;
extern thread_local bool exempt_from_faults;
extern std::atomic<bool> bounded_waits_end_early;

// Failures that Linux documents and that pass: of so many calls in a hundred one ends with such an error, or
// takes or brings less than it was asked to, but for those of threads that are spared. What it met so far is
// counted.
extern std::atomic<std::uint32_t> transient_failure_percent;
extern std::atomic<long> injected_failure_count;

// The next so many calls of connect() end with this error, for all threads that are not spared.
struct ConnectFailures {
  std::atomic<int> remaining{0};
  std::atomic<int> error{0};
};
extern ConnectFailures connect_failures;

// Connections to this port break with ETIMEDOUT or EHOSTUNREACH in one of so many reads in a hundred.
extern std::atomic<std::uint16_t> broken_connections_port;
extern std::atomic<std::uint32_t> connection_break_percent;

// All waits in poll() end with EINTR, while this is set; how many have.
extern std::atomic<bool> interrupt_polls;
extern std::atomic<long> interrupted_poll_count;

// Calls on files: the one with this number, counted from 1, and all that follow fail with the error, or a
// write stops after so many bytes. 0: none does.
struct FileFailures {
  std::atomic<long> calls{0};               // so far
  std::atomic<long> first_failing_call{0};  // this call and those behind it
  std::atomic<int> error{0};
  std::atomic<long> bytes_left{-1};  // written by write(), then ENOSPC; below 0: any number
};
extern FileFailures file_failures;
