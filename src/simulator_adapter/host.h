// Hosts one AdmissionController per front over the users' wire.
#pragma once

#include <iosfwd>

namespace yokestream::simulator_adapter {

// Reads batches until the input ends, answering each. Throws WireError on input that breaks the wire's terms.
void serve(std::istream& in, std::ostream& out);

// serve(), with a message on `err` and 1 for broken input, 0 for an input that ends between two batches.
int run(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace yokestream::simulator_adapter
