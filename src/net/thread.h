// A thread with a given stack size that is joined by its destructor.
#pragma once

#include <pthread.h>

#include <functional>
#include <memory>
#include <system_error>
#include <utility>

namespace yokestream::net {

// Sanitizers need several times as much stack.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t kSmallStackBytes = 1024 * 1024;
constexpr std::size_t kLargeStackBytes = 4 * 1024 * 1024;
#else
constexpr std::size_t kSmallStackBytes = 64 * 1024;   // pollers, reader threads and the listener
constexpr std::size_t kLargeStackBytes = 512 * 1024;  // the dispatcher, and threads that parse JSON
#endif

class Thread {
 public:
  Thread() = default;
  // `name` is the thread's name in system tools; at most 15 characters.
  Thread(const char* name, std::size_t stack_bytes, std::function<void()> body) {
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_bytes);
    auto owned = std::make_unique<std::function<void()>>(std::move(body));
    const int error = pthread_create(&thread_, &attributes, &Thread::start, owned.get());
    pthread_attr_destroy(&attributes);
    if (error != 0) throw std::system_error(error, std::generic_category(), "pthread_create");
    owned.release();
    pthread_setname_np(thread_, name);
    running_ = true;
  }
  Thread(Thread&& other) noexcept : thread_(other.thread_), running_(std::exchange(other.running_, false)) {}
  Thread& operator=(Thread&& other) noexcept {
    join();
    thread_ = other.thread_;
    running_ = std::exchange(other.running_, false);
    return *this;
  }
  ~Thread() { join(); }
  void join() {
    if (std::exchange(running_, false)) pthread_join(thread_, nullptr);
  }

 private:
  static void* start(void* body) {
    const std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()>*>(body));
    (*owned)();
    return nullptr;
  }
  pthread_t thread_{};
  bool running_ = false;
};

}  // namespace yokestream::net
