#pragma once

#include "common/result.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindyke
{

class TomlDocument;

/// A table of a validated TOML document. Each reader records a wrong type or a value out of range as an error with file, line, key and
/// remedy, and returns the fallback. TomlDocument::finish() reports all errors and the keys that were never read.
class TomlTable
{
public:
    std::string text(std::string_view key, std::string_view fallback);
    std::string requiredText(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    std::int64_t requiredInteger(std::string_view key, std::int64_t min, std::int64_t max);
    double number(std::string_view key, double fallback, double min, double max);
    bool flag(std::string_view key, bool fallback);
    std::vector<std::string> texts(std::string_view key);
    std::vector<double> numbers(std::string_view key);
    /// Returns the tables of an array of tables; empty if the key is missing.
    std::vector<TomlTable> tables(std::string_view key);
    /// Returns the sub-table, or an empty one if the key is missing.
    TomlTable table(std::string_view key);
    bool has(std::string_view key) const;
    /// Records an error about a key whose type and range are right but whose content is not.
    void reject(std::string_view key, const std::string &problemAndRemedy);

private:
    friend class TomlDocument;
    struct Node;
    TomlTable(TomlDocument *document, std::shared_ptr<Node> node);

    TomlDocument *m_document;
    std::shared_ptr<Node> m_node;
};

/// A parsed TOML file that records which keys were read and which errors were found.
class TomlDocument
{
public:
    /// Parses TOML text. Error: Invalid, with the parser's line and column.
    static Result<std::unique_ptr<TomlDocument>> parse(std::string_view toml, const std::string &fileName);
    /// Reads and parses a TOML file. Errors: NotFound, TooLarge, Invalid.
    static Result<std::unique_ptr<TomlDocument>> read(const std::string &fileName);
    ~TomlDocument();
    TomlDocument(const TomlDocument &) = delete;
    TomlDocument &operator=(const TomlDocument &) = delete;

    TomlTable root();
    /// Returns all errors found so far and all keys that were never read, one per line; empty if there are none.
    std::optional<Error> finish();

private:
    friend class TomlTable;
    struct Private;
    TomlDocument();

    std::unique_ptr<Private> d;
};

/// Returns the content of a file. Errors: NotFound, TooLarge (over 16 MiB).
Result<std::string> readFile(const std::string &fileName);

}
