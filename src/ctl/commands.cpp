#include "ctl/commands.h"

#include "common/hash.h"
#include "control/convert.h"
#include "ctl/context.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <span>

namespace cumindyke
{

namespace
{

constexpr const char *DefaultServer = "127.0.0.1:8081";

/// A subcommand, as listed by --help.
struct Command
{
    const char *name;
    const char *argumentsHelp;
    const char *summary;
    std::size_t minArguments;
    std::size_t maxArguments;
    ExitCode (*run)(const Context &);
};

/// Reads the declarations of a folder and validates them as a whole.
Result<Declarations> loadDeclarations(const std::string &folder)
{
    const auto changes = readDeclarations(folder);
    if (!ok(changes)) {
        return errorOf(changes);
    }
    return Declarations().apply(valueOf(changes));
}

/// The changes that turn the declarations in force at the daemon into those of a folder.
struct Difference
{
    Revision baseRevision; ///< of the declarations in force
    std::vector<Change> changes;
};

/// Compares a folder's declarations with those in force at the daemon.
Result<Difference> compareWithDaemon(const std::string &folder, OperatorClient &client)
{
    const Result<Declarations> target = loadDeclarations(folder);
    if (!ok(target)) {
        return errorOf(target);
    }
    const Result<v1::Declarations> reply = client.get();
    if (!ok(reply)) {
        return errorOf(reply);
    }
    const Result<Declarations> current = fromWire(valueOf(reply));
    if (!ok(current)) {
        return errorOf(current);
    }
    return Difference{.baseRevision = valueOf(current).revision(), .changes = valueOf(current).changesTo(valueOf(target))};
}

ExitCode checkCommand(const Context &context)
{
    const Result<Declarations> loaded = loadDeclarations(context.arguments[0]);
    if (!ok(loaded)) {
        return printError(errorOf(loaded));
    }
    const Declarations &declarations = valueOf(loaded);
    std::cout << "valid: " << declarations.tiers().size() << " tiers, " << declarations.organisations().size() << " organisations, "
              << declarations.services().size() << " services, " << declarations.upstreams().size() << " upstreams\n";
    return ExitOk;
}

ExitCode diffCommand(const Context &context)
{
    OperatorClient client = context.makeClient();
    const Result<Difference> difference = compareWithDaemon(context.arguments[0], client);
    if (!ok(difference)) {
        return printError(errorOf(difference));
    }
    if (context.format == OutputFormat::Json) {
        v1::ApplyRequest request;
        request.set_base_revision(valueOf(difference).baseRevision.value);
        for (const Change &change : valueOf(difference).changes) {
            *request.add_changes() = toWire(change);
        }
        printJson(request);
        return valueOf(difference).changes.empty() ? ExitOk : ExitDifferent;
    }
    for (const Change &change : valueOf(difference).changes) {
        std::cout << describe(change) << "\n";
    }
    if (valueOf(difference).changes.empty()) {
        std::cout << "no difference from revision " << valueOf(difference).baseRevision.value << "\n";
        return ExitOk;
    }
    return ExitDifferent;
}

ExitCode applyCommand(const Context &context)
{
    OperatorClient client = context.makeClient();
    const Result<Difference> compared = compareWithDaemon(context.arguments[0], client);
    if (!ok(compared)) {
        return printError(errorOf(compared));
    }
    const Difference &difference = valueOf(compared);
    if (difference.changes.empty()) {
        v1::CommandReply unchanged;
        unchanged.set_outcome(v1::CommandReply::ACCEPTED);
        unchanged.set_revision(difference.baseRevision.value);
        unchanged.set_message("nothing to change");
        return printReply(unchanged, context.format);
    }
    v1::ApplyRequest request;
    request.set_command_id(context.commandId());
    request.set_base_revision(context.options.count("base-revision") ? context.options["base-revision"].as<std::uint64_t>() : difference.baseRevision.value);
    request.set_author(context.author());
    request.set_wait(context.options["wait"].as<bool>());
    for (const Change &change : difference.changes) {
        *request.add_changes() = toWire(change);
    }
    const Result<v1::CommandReply> reply = client.apply(request);
    return ok(reply) ? printReply(valueOf(reply), context.format) : printError(errorOf(reply));
}

ExitCode getCommand(const Context &context)
{
    const Result<v1::Declarations> reply = context.makeClient().get();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    if (context.format == OutputFormat::Json) {
        printJson(valueOf(reply));
        return ExitOk;
    }
    const v1::Declarations &declarations = valueOf(reply);
    std::cout << "revision " << declarations.revision() << "\n";
    for (const v1::Tier &tier : declarations.tiers()) {
        std::cout << "tier " << tier.name() << " rank " << tier.rank() << "\n";
    }
    for (const v1::Organisation &organisation : declarations.organisations()) {
        std::cout << "organisation " << organisation.name() << " highest tier " << organisation.highest_tier() << "\n";
    }
    for (const v1::Service &service : declarations.services()) {
        std::cout << "service " << service.name() << " version " << service.version() << "\n";
    }
    for (const v1::Upstream &upstream : declarations.upstreams()) {
        std::cout << "upstream " << upstream.name() << " of " << upstream.service() << " version " << upstream.version() << " at " << upstream.address()
                  << " in " << upstream.data_centre() << "\n";
    }
    return ExitOk;
}

ExitCode historyCommand(const Context &context)
{
    v1::HistoryRequest request;
    request.set_after_revision(context.afterRevision());
    const Result<v1::HistoryReply> reply = context.makeClient().history(request);
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    if (context.format == OutputFormat::Json) {
        printJson(valueOf(reply));
        return ExitOk;
    }
    for (const v1::HistoryEntry &entry : valueOf(reply).entries()) {
        std::cout << describe(entry) << "\n";
    }
    return ExitOk;
}

ExitCode hashKeyCommand(const Context & /*context*/)
{
    std::string key;
    if (!std::getline(std::cin, key) || key.empty()) {
        std::cerr << "cumindykectl: no key on standard input: pipe one in, for example from a password manager\n";
        return ExitUsage;
    }
    std::cout << hashKey(key).value << "\n";
    return ExitOk;
}

constexpr Command Commands[] = {
    {"check", "DIR", "check the declarations of a folder, without a daemon", 1, 1, checkCommand},
    {"diff", "DIR", "show what apply would change; exit 5 when there is something", 1, 1, diffCommand},
    {"apply", "DIR", "make the declarations of a folder the ones in force", 1, 1, applyCommand},
    {"get", "", "show the declarations in force", 0, 0, getCommand},
    {"history", "", "show accepted changes (--after REVISION)", 0, 0, historyCommand},
    {"watch", "", "show changes and moves as they happen (--after REVISION, --count N)", 0, 0, watchCommand},
    {"members", "[add-replica|remove-replica VM]", "show the VMs, the replicas and the leader, or change the replicas", 0, 2, membersCommand},
    {"suspects", "[clear FINGERPRINT]", "show requests, and parts of prompts, that ran at upstreams which ended, or let one run again", 0, 2, suspectsCommand},
    {"evacuation",
     "[start|end DATA-CENTRE]",
     "send no new requests to the upstreams of a data centre, or end that; alone: show the evacuations",
     0,
     2,
     evacuationCommand},
    {"snapshot", "save|restore FILE", "save the whole state to a file, or make a saved one a new revision", 2, 2, snapshotCommand},
    {"move",
     "start SERVICE VERSION|status [SERVICE]|abort MOVE",
     "move a service's traffic to another version (--deadline), or look at moves",
     1,
     3,
     moveCommand},
    {"report", "[burn|alerts]", "show how requests ended; the burn of objectives (--html for a page); alert rules for Prometheus", 0, 1, reportCommand},
    {"hash-key", "", "read an API key from standard input and print its hash for a declaration", 0, 0, hashKeyCommand},
};

cxxopts::Options makeOptions(const std::string &name)
{
    cxxopts::Options options(name, "Operators' tool of cumindyke.");
    options.add_options()("server", "daemon's rpc address", cxxopts::value<std::string>()->default_value(DefaultServer), "IP:PORT")(
        "timeout-ms", "longest wait for a reply", cxxopts::value<int>()->default_value("15000"), "N")(
        "output", "text or json", cxxopts::value<std::string>()->default_value("text"), "FORM")(
        "command-id", "id of the command; give the first one again to resend safely", cxxopts::value<std::string>(), "ID")(
        "base-revision", "revision the change was made against, if not the present one", cxxopts::value<std::uint64_t>(), "N")(
        "author", "who makes the change; $USER if not given", cxxopts::value<std::string>(), "NAME")(
        "after", "history, watch: only later revisions", cxxopts::value<std::uint64_t>()->default_value("0"), "REVISION")(
        "count", "watch: end after so many events; 0 is never", cxxopts::value<std::uint64_t>()->default_value("0"), "N")(
        "deadline", "move start: when the move must be done: 90s, 30m, 4h, or a time like 2026-12-03T18:00:00Z", cxxopts::value<std::string>(), "TIME")(
        "html", "report burn: one page with plots, instead of text")("wait", "apply: answer when the change is in force on every live VM")(
        "help", "print this help")("cert", "the operator's certificate, PEM, with --key and --ca: mutual TLS", cxxopts::value<std::string>(), "FILE")(
        "key", "private key of --cert", cxxopts::value<std::string>(), "FILE")("ca", "whose certificates are trusted", cxxopts::value<std::string>(), "FILE");
    return options;
}

void printHelp()
{
    std::cout << "Usage: cumindykectl COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
    for (const Command &command : Commands) {
        std::string usage = std::string(command.name) + " " + command.argumentsHelp;
        usage.resize(std::max<std::size_t>(usage.size(), 40), ' ');
        std::cout << "  " << usage << command.summary << "\n";
    }
    std::cout << "\nRun 'cumindykectl COMMAND --help' for the options.\n";
}

ExitCode runCommand(const Command &command, int argc, char **argv)
{
    cxxopts::Options options = makeOptions(std::string("cumindykectl ") + command.name);
    options.positional_help(command.argumentsHelp);
    options.custom_help("[OPTIONS]");
    options.add_options("arguments")("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"arguments"});
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << command.summary << "\n" << options.help({""});
            return ExitOk;
        }
        const auto format = parsed["output"].as<std::string>();
        if (format != "text" && format != "json") {
            std::cerr << "cumindykectl: --output must be text or json\n";
            return ExitUsage;
        }
        if (parsed.count("cert") != parsed.count("key") || parsed.count("cert") != parsed.count("ca")) {
            std::cerr << "cumindykectl: --cert, --key and --ca go together\n";
            return ExitUsage;
        }
        Context context{.options = parsed, .format = format == "json" ? OutputFormat::Json : OutputFormat::Text, .arguments = {}};
        if (parsed.count("arguments")) {
            context.arguments = parsed["arguments"].as<std::vector<std::string>>();
        }
        if (context.arguments.size() < command.minArguments || context.arguments.size() > command.maxArguments) {
            std::cerr << "cumindykectl: usage: cumindykectl " << command.name << " " << command.argumentsHelp << "\n";
            return ExitUsage;
        }
        if (const std::optional<TlsFiles> tls = context.tls()) {
            const Result<Done> checked = checkTlsFiles(*tls);
            if (!ok(checked)) {
                return printError(errorOf(checked));
            }
        }
        return command.run(context);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "cumindykectl: " << error.what() << ": see cumindykectl " << command.name << " --help\n";
        return ExitUsage;
    }
}

}

int runCommandLine(int argc, char **argv)
{
    const std::span<char *> arguments(argv, static_cast<std::size_t>(argc));
    if (arguments.size() < 2 || std::string_view(arguments[1]) == "--help" || std::string_view(arguments[1]) == "help") {
        printHelp();
        return arguments.size() < 2 ? ExitUsage : ExitOk;
    }
    if (std::string_view(arguments[1]) == "--version") {
        std::cout << "cumindykectl " CUMINDYKE_VERSION "\n";
        return ExitOk;
    }
    for (const Command &command : Commands) {
        if (std::string_view(arguments[1]) == command.name) {
            return runCommand(command, argc - 1, argv + 1);
        }
    }
    std::cerr << "cumindykectl: no command '" << arguments[1] << "': see cumindykectl --help\n";
    return ExitUsage;
}

}
