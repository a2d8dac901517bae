#include "figures/figures.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <cmath>

namespace yokestream::figures {
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

struct Figures::Metrics {
  prometheus::Registry registry;
  std::vector<std::array<prometheus::Counter*, kEnds.size()>> requests;  // by class
  prometheus::Counter* attempts = nullptr;
  prometheus::Gauge *in_flight = nullptr, *known = nullptr, *excluded = nullptr;
};

Figures::Figures(const std::vector<std::string>& classes) : metrics_(std::make_unique<Metrics>()) {
  auto& registry = metrics_->registry;
  auto& requests = prometheus::BuildCounter().Name("requests").Register(registry);
  for (const auto& name : classes) {
    auto& of_class = metrics_->requests.emplace_back();
    for (std::size_t end = 0; end < kEnds.size(); ++end)
      of_class[end] = &requests.Add({{kClass, name}, {kEnd, kEnds[end]}});
  }
  metrics_->attempts = &prometheus::BuildCounter().Name("attempts").Register(registry).Add({});
  const auto gauge = [&](const char* name) {
    return &prometheus::BuildGauge().Name(name).Register(registry).Add({});
  };
  metrics_->in_flight = gauge("in_flight");
  metrics_->known = gauge("engines_known");
  metrics_->excluded = gauge("engines_excluded");
}

Figures::~Figures() = default;

void Figures::ended(std::size_t cls, End end) {
  metrics_->requests.at(cls)[static_cast<std::size_t>(end)]->Increment();
}

void Figures::attempt() { metrics_->attempts->Increment(); }

void Figures::set_in_flight(std::size_t requests) { metrics_->in_flight->Set(static_cast<double>(requests)); }

void Figures::set_engines(std::size_t known, std::size_t excluded) {
  metrics_->known->Set(static_cast<double>(known));
  metrics_->excluded->Set(static_cast<double>(excluded));
}

std::string Figures::text() const {
  std::string out;
  for (const auto& family : metrics_->registry.Collect()) {
    for (const auto& metric : family.metric) {
      const auto cls = label(metric, kClass);
      const auto name = cls.empty() ? family.name : family.name + '.' + cls + '.' + label(metric, kEnd);
      const bool counts = family.type == prometheus::MetricType::Counter;
      out += line(name, counts ? metric.counter.value : metric.gauge.value, counts ? 'c' : 'g');
    }
  }
  return out;
}

}  // namespace yokestream::figures
