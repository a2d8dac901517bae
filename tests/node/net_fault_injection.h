// Fault injection for system calls (net_fault_injection.cpp). The wrappers replace the calls in the whole
// test program and fail when a test asks for it: no threads, no descriptors, no room in epoll, bounded waits
// that end early.
#pragma once

#include <atomic>
#include <cstdint>

// Percentage of the calls that start threads, open descriptors or add them to epoll that fail. Threads that
// set exempt_from_faults are not affected, here and below.
extern std::atomic<std::uint32_t> resource_failure_percent;
extern thread_local bool exempt_from_faults;
extern std::atomic<bool> bounded_waits_end_early;

// Percentage of calls that fail with a transient error that Linux documents, or that transfer fewer bytes
// than requested, and the number of such failures so far.
extern std::atomic<std::uint32_t> transient_failure_percent;
extern std::atomic<long> injected_failure_count;

// The next `remaining` calls of connect() fail with `error`.
struct ConnectFailures {
  std::atomic<int> remaining{0};
  std::atomic<int> error{0};
};
extern ConnectFailures connect_failures;

// Connections to this port fail with ETIMEDOUT or EHOSTUNREACH in this percentage of reads.
extern std::atomic<std::uint16_t> broken_connections_port;
extern std::atomic<std::uint32_t> connection_break_percent;

// While set, all waits in poll() fail with EINTR; the number of waits that have.
extern std::atomic<bool> interrupt_polls;
extern std::atomic<long> interrupted_poll_count;

// Failures of calls on files: all calls from first_failing_call on, counted from 1, fail with `error` (0:
// none fails), or writes stop after bytes_left bytes.
struct FileFailures {
  std::atomic<long> calls{0};               // so far
  std::atomic<long> first_failing_call{0};  // this call and all later ones
  std::atomic<int> error{0};
  std::atomic<long> bytes_left{-1};  // that write() still accepts, then ENOSPC; negative: no limit
};
extern FileFailures file_failures;
