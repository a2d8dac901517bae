// The system that the tests of the drivers stand on (net_system.cpp): in place of the real calls, one that
// falls short of threads, descriptors and room to watch them, or whose bounded waits end early, when a test
// wants it to.
#pragma once

#include <atomic>
#include <cstdint>

// Of so many starts in a hundred none comes about, but for those of threads that are spared.
extern std::atomic<std::uint32_t> short_of_all;
extern thread_local bool spared;
extern std::atomic<bool> waits_end_early;

// Failures that Linux documents and that pass: of so many calls in a hundred one ends with such an error, or
// takes or brings less than it was asked to, but for those of threads that are spared. What it met so far is
// counted.
extern std::atomic<std::uint32_t> passing_failures;
extern std::atomic<long> failures_met;

// The next so many calls of connect() end with this error, for all threads that are not spared.
struct ConnectFailures {
  std::atomic<int> left{0};
  std::atomic<int> error{0};
};
extern ConnectFailures connect_failures;

// Connections to this port break with ETIMEDOUT or EHOSTUNREACH in one of so many reads in a hundred.
extern std::atomic<std::uint16_t> breaking_port;
extern std::atomic<std::uint32_t> breaks;

// All waits in poll() end with EINTR, while this is set; how many have.
extern std::atomic<bool> polls_interrupted;
extern std::atomic<long> polls_cut;

// Calls on files: the one with this number, counted from 1, and all that follow fail with the error, or a
// write stops after so many bytes. 0: none does.
struct FileFailures {
  std::atomic<long> calls{0};     // so far
  std::atomic<long> fails_at{0};  // this call and those behind it
  std::atomic<int> error{0};
  std::atomic<long> bytes_left{-1};  // written by write(), then ENOSPC; below 0: any number
};
extern FileFailures file_failures;
