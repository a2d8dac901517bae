// Runs AdmissionControllers, one per simulated manager, on the simulator's line protocol.
#pragma once

#include <iosfwd>

namespace yokestream::simulator_adapter {

// Reads batches until the input ends and answers each. Throws WireError if the input violates the protocol.
void serve(std::istream& in, std::ostream& out);

// Like serve(), but returns an exit status: 0 if the input ends between two batches; 1 if it is invalid, with
// a message on `err`.
int run(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace yokestream::simulator_adapter
