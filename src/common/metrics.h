#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
}

namespace cumindyke
{

using MetricLabels = std::map<std::string, std::string>;

/// A monotonically increasing counter. Copies share the value. Safe from any thread.
class Counter
{
public:
    explicit Counter(prometheus::Counter *counter)
        : m_counter(counter)
    {
    }
    void add(double amount = 1);
    double value() const;

private:
    prometheus::Counter *m_counter;
};

/// A value that can go up and down. Copies share the value. Safe from any thread.
class Gauge
{
public:
    explicit Gauge(prometheus::Gauge *gauge)
        : m_gauge(gauge)
    {
    }
    void set(double value);

private:
    prometheus::Gauge *m_gauge;
};

/// A histogram of observed durations in seconds. Copies share the counts. Safe from any thread.
class Histogram
{
public:
    explicit Histogram(prometheus::Histogram *histogram)
        : m_histogram(histogram)
    {
    }
    void observe(double seconds);

private:
    prometheus::Histogram *m_histogram;
};

/// All metrics of one process. Names end in their unit (_total, _seconds, _bytes), as Prometheus recommends.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Returns the metric with this name and these labels, created on first use. Keep the handle on hot paths.
    Counter counter(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    Gauge gauge(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    Histogram histogram(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    /// Returns all metrics in the text format that Prometheus scrapes.
    std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

}
