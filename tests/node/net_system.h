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
