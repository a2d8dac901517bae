#include "metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <cmath>

namespace yokestream::metrics {
namespace {

constexpr const char* kPrefix = "edge_relay.";
constexpr const char* kClass = "class";
constexpr const char* kEnd = "end";
constexpr std::array<const char*, 3> kEnds = {"served", "refused", "failed"};  // by End

std::string label(const prometheus::ClientMetric& metric, const std::string& name) {
  for (const auto& pair : metric.label) {
    if (pair.name == name) return pair.value;
  }
  return {};
}

std::string line(const std::string& name, double value, char kind) {
  return kPrefix + name + ':' + std::to_string(std::llround(value)) + '|' + kind + '\n';
}

}  // namespace

struct Metrics::Impl {
  prometheus::Registry registry;
  std::vector<std::array<prometheus::Counter*, kEnds.size()>> requests;  // by class
  prometheus::Counter* attempts = nullptr;
  prometheus::Gauge *in_flight = nullptr, *known = nullptr, *excluded = nullptr;
};

Metrics::Metrics(const std::vector<std::string>& classes) : impl_(std::make_unique<Impl>()) {
  auto& registry = impl_->registry;
  auto& requests = prometheus::BuildCounter().Name("requests").Register(registry);
  for (const auto& name : classes) {
    auto& of_class = impl_->requests.emplace_back();
    for (std::size_t end = 0; end < kEnds.size(); ++end)
      of_class[end] = &requests.Add({{kClass, name}, {kEnd, kEnds[end]}});
  }
  impl_->attempts = &prometheus::BuildCounter().Name("attempts").Register(registry).Add({});
  const auto gauge = [&](const char* name) {
    return &prometheus::BuildGauge().Name(name).Register(registry).Add({});
  };
  impl_->in_flight = gauge("in_flight");
  impl_->known = gauge("engines_known");
  impl_->excluded = gauge("engines_excluded");
}

Metrics::~Metrics() = default;

void Metrics::count_request(std::size_t query_class, RequestOutcome outcome) {
  impl_->requests.at(query_class)[static_cast<std::size_t>(outcome)]->Increment();
}

void Metrics::count_attempt() { impl_->attempts->Increment(); }

void Metrics::set_in_flight(std::size_t requests) { impl_->in_flight->Set(static_cast<double>(requests)); }

void Metrics::set_engines(std::size_t known, std::size_t excluded) {
  impl_->known->Set(static_cast<double>(known));
  impl_->excluded->Set(static_cast<double>(excluded));
}

std::string Metrics::text() const {
  std::string out;
  for (const auto& family : impl_->registry.Collect()) {
    for (const auto& metric : family.metric) {
      const auto cls = label(metric, kClass);
      const auto name = cls.empty() ? family.name : family.name + '.' + cls + '.' + label(metric, kEnd);
      const bool counts = family.type == prometheus::MetricType::Counter;
      out += line(name, counts ? metric.counter.value : metric.gauge.value, counts ? 'c' : 'g');
    }
  }
  return out;
}

}  // namespace yokestream::metrics
