#include "net/accept_gate.h"

#include <sys/eventfd.h>

#include <cerrno>
#include <system_error>

namespace yokestream::net {

AcceptGate::AcceptGate() : opened_event_(::eventfd(0, EFD_CLOEXEC)) {
  if (!opened_event_)
    throw std::system_error(errno, std::generic_category(), "cannot create the accept gate's eventfd");
}

void AcceptGate::open() {
  open_ = true;
  raise_event(opened_event_);
}

}  // namespace yokestream::net
