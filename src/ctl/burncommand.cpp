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
    const Result<v1::ReportReply> reply = context.makeClient().report();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    if (context.format == OutputFormat::Json) {
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
    const Result<v1::ReportReply> reply = context.makeClient().report(request);
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    const std::string &json = valueOf(reply).burn_json();
    if (context.format == OutputFormat::Json) {
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
    const Result<v1::Declarations> reply = context.makeClient().get();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    const Result<Declarations> declarations = fromWire(valueOf(reply));
    if (!ok(declarations)) {
        return printError(errorOf(declarations));
    }
    std::cout << alertRules(valueOf(declarations));
    return ExitOk;
}

}

ExitCode reportCommand(const Context &context)
{
    const std::string subject = context.arguments.empty() ? "" : context.arguments[0];
    if (subject.empty()) {
        return reportCounters(context);
    }
    if (subject == "burn") {
        return reportBurn(context);
    }
    if (subject == "alerts") {
        return reportAlerts(context);
    }
    std::cerr << "cumindykectl: usage: cumindykectl report [burn|alerts]\n";
    return ExitUsage;
}

}
