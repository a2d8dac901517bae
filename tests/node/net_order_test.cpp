// The order in which a client's bytes, its cancellations and what ends its connection take effect. The client
// is read only when the test says so.
#include <doctest/doctest.h>
#include <sys/ioctl.h>

#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

constexpr double kTestTimeoutS = 30;

// Waits until `size` bytes are unread.
void wait_for_unread(int descriptor, std::size_t size) {
  const Time deadline = net::now() + 10s;
  int unread = 0;
  while (static_cast<std::size_t>(unread) < size) {
    REQUIRE(net::now() < deadline);
    REQUIRE(::ioctl(descriptor, FIONREAD, &unread) == 0);
  }
}

// A request whose statement is told to be `missing` bytes shorter than it is.
std::string encode_too_short_request(int number, const std::string& id, const std::string& statement,
                                     int missing) {
  std::string bytes = encode_request(number, id, statement);
  bytes[bytes.size() - statement.size() - 1] = static_cast<char>(statement.size() - missing);
  return bytes;
}

// Guards against running a part of a statement: its told length is too short, and what is left of it is
// malformed (review/10, docs/incidents/wrong-length.md).
TEST_CASE_FIXTURE(PausedClient, "a request with malformed bytes behind it fails and is not dispatched" *
                                    doctest::timeout(kTestTimeoutS)) {
  client->send(encode_request(1, "0123456789abcde1", "select 1") + encode_probe(2) +
               encode_too_short_request(3, "0123456789abcde3", "delete from t where id = 77", 14));
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_until_due));
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 1);
  CHECK(std::holds_alternative<dispatch::SessionStalled>(std::get<dispatch::Event>(events[0])));
  for (const char number : {1, 2, 3})
    CHECK(client->read_until(std::string("\x94\x01") + number + "\x92\xa5" + "Fault", net::now() + 10s));
}

// Guards against posting a long request before the malformed bytes behind it are read: they lie beyond what
// one call reads at once.
TEST_CASE_FIXTURE(PausedClient, "a request of many reads with malformed bytes behind it is not dispatched" *
                                    doctest::timeout(kTestTimeoutS)) {
  const std::string bytes = encode_long_request(1, "0123456789abcde1", std::string(40'000, 'x')) + "\x05";
  client->send(bytes);
  wait_for_unread(descriptor, bytes.size());
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_until_due));
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 1);
  CHECK(std::holds_alternative<dispatch::SessionStalled>(std::get<dispatch::Event>(events[0])));
}

// Guards against losing a cancellation that was read together with malformed bytes.
TEST_CASE_FIXTURE(PausedClient, "a cancellation with malformed bytes behind it takes effect" *
                                    doctest::timeout(kTestTimeoutS)) {
  client->send(encode_request(1, "0123456789abcde1", "select 1"));
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
  CHECK(drain_event_count() == 1);
  client->send(encode_cancel(1) + "\x05");
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_until_due));
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 2);
  CHECK(std::holds_alternative<dispatch::RequestCancelled>(std::get<dispatch::Event>(events[0])));
  CHECK(std::holds_alternative<dispatch::SessionStalled>(std::get<dispatch::Event>(events[1])));
}

}  // namespace
}  // namespace yokestream::test
