#include "control/convert.h"
#include "ctl/context.h"
#include "report/burn.h"

#include <cxxopts.hpp>

#include <iostream>

namespace cumindyke
{

namespace
{

ExitCode reportCounters(const Context &context)
{
    const Result<v1::ReportReply> reply = context.client().report();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    if (context.form == OutputForm::Json) {
        printJson(valueOf(reply));
        return ExitOk;
    }
    for (const v1::TierReport &tier : valueOf(reply).tiers()) {
        std::cout << tier.service() << " " << tier.tier() << ": " << tier.on_time() << " on time, " << tier.late() << " late, " << tier.failed() << " failed, "
                  << tier.refused() << " refused, " << tier.unknown() << " unknown\n";
    }
    return ExitOk;
}

ExitCode reportBurn(const Context &context)
{
    v1::ReportRequest request;
    request.set_burn(true);
    const Result<v1::ReportReply> reply = context.client().report(request);
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    const std::string &json = valueOf(reply).burn_json();
    if (context.form == OutputForm::Json) {
        std::cout << json << "\n";
        return ExitOk;
    }
    const Result<std::string> text = context.options.count("html") ? burnHtml(json) : burnText(json);
    if (!ok(text)) {
        return printError(errorOf(text));
    }
    std::cout << valueOf(text);
    return ExitOk;
}

ExitCode reportAlerts(const Context &context)
{
    const Result<v1::Declarations> wire = context.client().get();
    if (!ok(wire)) {
        return printError(errorOf(wire));
    }
    const Result<Declarations> declarations = fromWire(valueOf(wire));
    if (!ok(declarations)) {
        return printError(errorOf(declarations));
    }
    std::cout << alertRules(valueOf(declarations));
    return ExitOk;
}

}

ExitCode reportCommand(const Context &context)
{
    const std::string what = context.arguments.empty() ? "" : context.arguments[0];
    if (what.empty()) {
        return reportCounters(context);
    }
    if (what == "burn") {
        return reportBurn(context);
    }
    if (what == "alerts") {
        return reportAlerts(context);
    }
    std::cerr << "cumindykectl: usage: cumindykectl report [burn|alerts]\n";
    return ExitUsage;
}

}
