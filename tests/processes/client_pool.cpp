#include "client_pool.h"

#include <sys/socket.h>

#include <thread>

namespace yokestream::test {
namespace {

constexpr auto kThinkTime = std::chrono::milliseconds(40);
constexpr int kMaxRequestsPerConnection = 100;

// Checked before each request: a client that has seen the end of its connection reconnects first.
bool has_ended(TestClient& client) {
  char first = 0;
  return ::recv(client.socket.descriptor(), &first, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace

ClientPool::ClientPool(const config::Endpoint& manager, int clients, ClientOptions options)
    : manager_(manager), options_(std::move(options)) {
  for (int i = options_.first_client; i < options_.first_client + clients; ++i)
    threads_.push_back(
        std::make_unique<net::Thread>("client-pool", net::kLargeStackBytes, [this, i] { run(i); }));
}

void ClientPool::stop() {
  stopping_ = true;
  threads_.clear();
}

void ClientPool::wait_for_responses(long count) {
  const long target = answered + count;
  while (answered < target) std::this_thread::yield();
}

void ClientPool::run(int number) {
  std::unique_ptr<TestClient> client;
  unsigned asked = 0;
  while (!stopping_) {
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(number), ++asked);
    bool heard = false;
    for (int tries = 0; tries < 2 && !heard; ++tries) {
      if (!client || client->last_call >= kMaxRequestsPerConnection || has_ended(*client)) {
        client = std::make_unique<TestClient>(manager_);
        client->query_class = options_.query_class, client->statement_suffix = options_.statement_suffix;
      }
      heard = client->try_send_request(id, 20) && client->receive_response();
      if (!heard) client.reset(), ++failed_sends;
    }
    lost += !heard;
    served += heard && client->last_served;
    answered += heard;
    std::this_thread::sleep_for(kThinkTime);
  }
}

}  // namespace yokestream::test
