#pragma once

#include <stdexcept>

namespace yokestream::protocol {

// Bytes that are not on a protocol's terms: the connection they came from is of no further use.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace yokestream::protocol
