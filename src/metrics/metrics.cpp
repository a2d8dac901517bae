#include "metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <atomic>
#include <cmath>
#include <utility>

namespace yokestream::metrics {
namespace {

constexpr const char* kPrefix = "edge_relay.";
constexpr const char* kClassLabel = "class";
constexpr const char* kOutcomeLabel = "end";
constexpr const char* kCauseLabel = "cause";
constexpr std::array<const char*, 3> kOutcomeNames = {"served", "refused", "failed"};  // by RequestOutcome
constexpr std::array<const char*, 10> kRejectionCauses = {
    "not_serving", "open_requests", "client_limit", "client_rate", "memory",
    "throttle",    "scheduler",     "route_closed", "policy",      "shutdown_deadline"};  // by RejectionCause

std::string label_value(const prometheus::ClientMetric& metric, const std::string& name) {
  for (const auto& pair : metric.label) {
    if (pair.name == name) return pair.value;
  }
  return {};
}

// The name of a family, followed by the values of its labels.
std::string full_name(const std::string& family, const prometheus::ClientMetric& metric) {
  std::string name = family;
  for (const char* label : {kClassLabel, kOutcomeLabel, kCauseLabel}) {
    if (const auto value = label_value(metric, label); !value.empty()) name += '.' + value;
  }
  return name;
}

std::string format_line(const std::string& name, double value, char type) {
  return kPrefix + name + ':' + std::to_string(std::llround(value)) + '|' + type + '\n';
}

// A counter that has no line in the text before it has counted something, so that the text of a process
// without such events stays as its readers know it.
class LateCounter {
 public:
  void set_family(prometheus::Family<prometheus::Counter>& family, prometheus::Labels labels) {
    family_ = &family;
    labels_ = std::move(labels);
  }
  void increment() {
    auto* counter = counter_.load();
    if (counter == nullptr)
      counter_ = counter = &family_->Add(labels_);  // yields the same one to all threads
    counter->Increment();
  }

 private:
  prometheus::Family<prometheus::Counter>* family_ = nullptr;
  prometheus::Labels labels_;
  std::atomic<prometheus::Counter*> counter_{nullptr};
};

}  // namespace

struct Metrics::Impl {
  prometheus::Registry registry;
  std::vector<std::array<prometheus::Counter*, kOutcomeNames.size()>> requests;  // by class and outcome
  std::array<LateCounter, kRejectionCauses.size()> rejections;                   // by RejectionCause
  LateCounter closes_with_pending_requests;
  prometheus::Counter* attempts = nullptr;
  prometheus::Gauge *in_flight = nullptr, *known_engines = nullptr, *excluded_engines = nullptr;
};

Metrics::Metrics(const std::vector<std::string>& classes) : impl_(std::make_unique<Impl>()) {
  auto& registry = impl_->registry;
  auto& requests = prometheus::BuildCounter().Name("requests").Register(registry);
  for (const auto& name : classes) {
    auto& counters = impl_->requests.emplace_back();
    for (std::size_t outcome = 0; outcome < kOutcomeNames.size(); ++outcome)
      counters[outcome] = &requests.Add({{kClassLabel, name}, {kOutcomeLabel, kOutcomeNames[outcome]}});
  }
  impl_->attempts = &prometheus::BuildCounter().Name("attempts").Register(registry).Add({});
  impl_->closes_with_pending_requests.set_family(
      prometheus::BuildCounter().Name("client_closes_with_pending_requests").Register(registry), {});
  auto& rejections = prometheus::BuildCounter().Name("rejections").Register(registry);
  for (std::size_t cause = 0; cause < kRejectionCauses.size(); ++cause)
    impl_->rejections[cause].set_family(rejections, {{kCauseLabel, kRejectionCauses[cause]}});
  const auto add_gauge = [&](const char* name) {
    return &prometheus::BuildGauge().Name(name).Register(registry).Add({});
  };
  impl_->in_flight = add_gauge("in_flight");
  impl_->known_engines = add_gauge("engines_known");
  impl_->excluded_engines = add_gauge("engines_excluded");
}

Metrics::~Metrics() = default;

void Metrics::count_request(std::size_t query_class, RequestOutcome outcome) {
  impl_->requests.at(query_class)[static_cast<std::size_t>(outcome)]->Increment();
}

void Metrics::count_rejection(RejectionCause cause) {
  impl_->rejections.at(static_cast<std::size_t>(cause)).increment();
}

void Metrics::count_close_with_pending_requests() { impl_->closes_with_pending_requests.increment(); }

void Metrics::count_attempt() { impl_->attempts->Increment(); }

void Metrics::set_in_flight(std::size_t requests) { impl_->in_flight->Set(static_cast<double>(requests)); }

void Metrics::set_engines(std::size_t known, std::size_t excluded) {
  impl_->known_engines->Set(static_cast<double>(known));
  impl_->excluded_engines->Set(static_cast<double>(excluded));
}

std::string Metrics::text() const {
  std::string out;
  for (const auto& family : impl_->registry.Collect()) {
    for (const auto& metric : family.metric) {
      const auto name = full_name(family.name, metric);
      const bool is_counter = family.type == prometheus::MetricType::Counter;
      out +=
          format_line(name, is_counter ? metric.counter.value : metric.gauge.value, is_counter ? 'c' : 'g');
    }
  }
  return out;
}

}  // namespace yokestream::metrics
