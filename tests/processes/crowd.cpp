#include "crowd.h"

#include <sys/socket.h>

#include <thread>

namespace yokestream::test {
namespace {

constexpr auto kThinks = std::chrono::milliseconds(40);

// Seen before it asks: a client that knows of the end takes a new connection, and nothing crosses.
bool has_ended(TestClient& client) {
  char first = 0;
  return ::recv(client.socket.descriptor(), &first, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace

Crowd::Crowd(const config::Endpoint& manager, int clients, Asks asks)
    : manager_(manager), asks_(std::move(asks)) {
  for (int i = asks_.first; i < asks_.first + clients; ++i)
    threads_.push_back(std::make_unique<net::Thread>("crowd", net::kLargeStackBytes, [this, i] { run(i); }));
}

void Crowd::finish() {
  over_ = true;
  threads_.clear();
}

void Crowd::wait_for(long more) {
  const long until = answered + more;
  while (answered < until) std::this_thread::yield();
}

void Crowd::run(int number) {
  std::unique_ptr<TestClient> client;
  unsigned asked = 0;
  while (!over_) {
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(number), ++asked);
    bool heard = false;
    for (int tries = 0; tries < 2 && !heard; ++tries) {
      if (!client || client->last_call >= 100 || has_ended(*client)) {
        client = std::make_unique<TestClient>(manager_);
        client->query_class = asks_.cls, client->statement_suffix = asks_.tail;
      }
      heard = client->try_send_request(id, 20) && client->receive_response();
      if (!heard) client.reset(), ++turned_back;
    }
    lost += !heard;
    served += heard && client->last_served;
    answered += heard;
    std::this_thread::sleep_for(kThinks);
  }
}

}  // namespace yokestream::test
