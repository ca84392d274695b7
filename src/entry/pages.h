#pragma once

#include "entry/admission.h"
#include "entry/exchange.h"

namespace cumindyke
{

class Metrics;

/// Answers the paths that need no upstream: health, readiness, metrics and the list of models. Returns false for other paths.
bool handlePage(Exchange &exchange, const Admission &admission, const Metrics &metrics, TimePoint now);

}
