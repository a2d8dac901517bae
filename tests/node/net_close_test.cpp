// What this process does to a client's connection by its own choice: what is refused, counted and logged, and
// when the connection is closed. The client is read only when the test says so.
#include <doctest/doctest.h>

#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

// Guards against a close that leaves no trace: a lost request could not be told from one that never came
// (issue 47, docs/incidents/unanswered-at-close.md).
TEST_CASE_FIXTURE(PausedClient,
                  "refusals are counted, and a close over an unread request is logged and reported" *
                      doctest::timeout(kTestTimeoutS)) {
  fixture.reader_pool.metrics = std::make_shared<metrics::Metrics>(fixture.config.real.classes);
  std::string bytes;
  for (int number = 1; number <= 70; ++number)
    bytes += encode_request(number, std::to_string(1000000000000000 + number), "x");
  client->send(bytes);
  wait_for_unread(descriptor, bytes.size());
  const Time time = net::now();
  BriefDispatcher dispatcher;
  for (int i = 0; i < 10; ++i) {
    session->on_ready(time, true);
    dispatcher.handle_events(*this);
  }
  const std::string text = fixture.reader_pool.metrics->text();
  CHECK(text.find("edge_relay.requests.look.refused:6|c") != std::string::npos);
  CHECK(text.find("edge_relay.rejections.client_rate:6|c") != std::string::npos);
  client->send(encode_request(100, "1000000000000100", "x"));
  wait_for_bytes(descriptor);
  session->abort("test");
  CHECK(fixture.log.count("closed with pending requests: cause=\"test\" session=1 open_calls=8 ") == 1);
  session->on_closed();
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 1);
  CHECK(std::get<dispatch::SessionClosed>(std::get<dispatch::Event>(events[0])).requests_pending);
}

}  // namespace
}  // namespace yokestream::test
