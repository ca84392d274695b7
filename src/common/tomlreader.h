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

/// One table of a checked TOML document. Each reader notes a wrong type or a value out of range as an error with
/// file, line, key and remedy, and returns the fallback; TomlDocument::finish() reports them all, and the keys nobody read.
class TomlTable
{
public:
    std::string text(std::string_view key, std::string_view fallback);
    std::string requiredText(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t least, std::int64_t most);
    std::int64_t requiredInteger(std::string_view key, std::int64_t least, std::int64_t most);
    double number(std::string_view key, double fallback, double least, double most);
    bool flag(std::string_view key, bool fallback);
    std::vector<std::string> texts(std::string_view key);
    std::vector<double> numbers(std::string_view key);
    /// The tables of an array of tables, or none.
    std::vector<TomlTable> tables(std::string_view key);
    /// The sub-table, or an empty one.
    TomlTable table(std::string_view key);
    bool has(std::string_view key) const;
    /// Notes an error about a key whose type and range were right but whose content was not.
    void reject(std::string_view key, const std::string &problemAndRemedy);

private:
    friend class TomlDocument;
    struct Node;
    TomlTable(TomlDocument *document, std::shared_ptr<Node> node);

    TomlDocument *m_document;
    std::shared_ptr<Node> m_node;
};

/// A parsed TOML file that remembers which keys were read and what was wrong with them.
class TomlDocument
{
public:
    /// Error: Invalid, with the parser's line and column.
    static Result<std::unique_ptr<TomlDocument>> parse(std::string_view toml, const std::string &fileName);
    /// Errors: NotFound, Invalid.
    static Result<std::unique_ptr<TomlDocument>> read(const std::string &fileName);
    ~TomlDocument();
    TomlDocument(const TomlDocument &) = delete;
    TomlDocument &operator=(const TomlDocument &) = delete;

    TomlTable root();
    /// Every problem found so far, and every key that no reader asked for: one line each. Empty when all is well.
    std::optional<Error> finish();

private:
    friend class TomlTable;
    struct Private;
    TomlDocument();

    std::unique_ptr<Private> d;
};

/// A whole file as text. Errors: NotFound, TooLarge (over 16 MiB).
Result<std::string> readFile(const std::string &fileName);

}
