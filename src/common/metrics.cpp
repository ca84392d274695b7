#include "common/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace cumindyke
{

namespace
{

/// Upper bounds of the buckets in seconds, from half a millisecond for a local call to some minutes for a long summary.
const prometheus::Histogram::BucketBoundaries
    LatencyBucketBounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.76, 1.5, 3, 6, 12, 30, 60, 120, 300};

}

void Counter::add(double amount)
{
    m_counter->Increment(amount);
}

double Counter::value() const
{
    return m_counter->Value();
}

void Gauge::set(double value)
{
    m_gauge->Set(value);
}

void Histogram::observe(double seconds)
{
    m_histogram->Observe(seconds);
}

struct Metrics::Private
{
    prometheus::Registry registry;
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

Counter Metrics::counter(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return Counter(&prometheus::BuildCounter().Name(name).Help(help).Register(d->registry).Add(labels));
}

Gauge Metrics::gauge(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return Gauge(&prometheus::BuildGauge().Name(name).Help(help).Register(d->registry).Add(labels));
}

Histogram Metrics::histogram(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return Histogram(&prometheus::BuildHistogram().Name(name).Help(help).Register(d->registry).Add(labels, LatencyBucketBounds));
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}

}
