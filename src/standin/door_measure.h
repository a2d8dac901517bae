// measure/door: the door before engines and clients of ours on loopback, and its cost in this process.
#pragma once

#include <cstdint>
#include <string>

namespace yokestream::standin {

// Prints a table and, as the last line, `door: holds ...` or `door: falls short ...`; returns whether it
// holds.
bool measure_door(const std::string& program, std::uint64_t seed, double seconds);

// The manager with its door on, four engines and three members for ten seconds, one of them flooding; prints
// who was served. Returns whether anybody was.
bool demo(const std::string& program);

}  // namespace yokestream::standin
