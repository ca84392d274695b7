#include "common/tomlreader.h"

#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>

namespace cumindyke
{

namespace
{

constexpr std::uintmax_t MaxFileBytes = 16U << 20;

}

struct TomlTable::Node
{
    const toml::table *table = nullptr;
    std::string path;
    std::set<std::string, std::less<>> accessedKeys;
    std::vector<std::shared_ptr<Node>> children;
};

struct TomlDocument::Private
{
    std::string fileName;
    toml::table table;
    std::shared_ptr<TomlTable::Node> root = std::make_shared<TomlTable::Node>();
    std::vector<std::string> problems;

    void recordProblem(const toml::source_region &where, const std::string &path, const std::string &problem)
    {
        problems.push_back(fileName + ":" + std::to_string(where.begin.line) + ": " + path + ": " + problem);
    }

    void recordUnknownKeys(const TomlTable::Node &node)
    {
        if (!node.table) {
            return;
        }
        for (const auto &[key, value] : *node.table) {
            if (!node.accessedKeys.contains(key.str())) {
                recordProblem(value.source(), node.path + std::string(key.str()), "unknown key: remove it or correct its spelling");
            }
        }
        for (const auto &child : node.children) {
            recordUnknownKeys(*child);
        }
    }
};

namespace
{

/// Returns the node at a key, or null, and records that the key was read.
template<typename Node>
const toml::node *accessNode(Node &node, std::string_view key)
{
    node.accessedKeys.emplace(key);
    return node.table ? node.table->get(key) : nullptr;
}

}

TomlTable::TomlTable(TomlDocument *document, std::shared_ptr<Node> node)
    : m_document(document)
    , m_node(std::move(node))
{
}

bool TomlTable::has(std::string_view key) const
{
    return m_node->table && m_node->table->contains(key);
}

void TomlTable::reject(std::string_view key, const std::string &problemAndRemedy)
{
    const toml::node *node = accessNode(*m_node, key);
    const toml::source_region where = node ? node->source() : (m_node->table ? m_node->table->source() : toml::source_region{});
    m_document->d->recordProblem(where, m_node->path + std::string(key), problemAndRemedy);
}

std::string TomlTable::text(std::string_view key, std::string_view fallback)
{
    const toml::node *node = accessNode(*m_node, key);
    if (!node) {
        return std::string(fallback);
    }
    if (!node->is_string()) {
        reject(key, "wrong type: write a string in quotes");
        return std::string(fallback);
    }
    return node->as_string()->get();
}

std::string TomlTable::requiredText(std::string_view key)
{
    if (!has(key)) {
        reject(key, "missing: add it, as a string in quotes");
    }
    return text(key, "");
}

std::int64_t TomlTable::integer(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const toml::node *node = accessNode(*m_node, key);
    if (!node) {
        return fallback;
    }
    if (!node->is_integer()) {
        reject(key, "wrong type: write an integer");
        return fallback;
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < min || value > max) {
        reject(key, std::to_string(value) + " is out of range: write " + std::to_string(min) + " to " + std::to_string(max));
        return fallback;
    }
    return value;
}

std::int64_t TomlTable::requiredInteger(std::string_view key, std::int64_t min, std::int64_t max)
{
    if (!has(key)) {
        reject(key, "missing: add it, as an integer");
    }
    return integer(key, min, min, max);
}

double TomlTable::number(std::string_view key, double fallback, double min, double max)
{
    const toml::node *node = accessNode(*m_node, key);
    if (!node) {
        return fallback;
    }
    const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value) {
        reject(key, "wrong type: write a number");
        return fallback;
    }
    if (!(*value >= min && *value <= max)) {
        std::ostringstream range;
        range << *value << " is out of range: write " << min << " to " << max;
        reject(key, range.str());
        return fallback;
    }
    return *value;
}

bool TomlTable::flag(std::string_view key, bool fallback)
{
    const toml::node *node = accessNode(*m_node, key);
    if (!node) {
        return fallback;
    }
    if (!node->is_boolean()) {
        reject(key, "wrong type: write true or false");
        return fallback;
    }
    return node->as_boolean()->get();
}

std::vector<std::string> TomlTable::texts(std::string_view key)
{
    const toml::node *node = accessNode(*m_node, key);
    if (!node) {
        return {};
    }
    const toml::array *array = node->as_array();
    if (!array) {
        reject(key, "wrong type: write a list of strings in square brackets");
        return {};
    }
    std::vector<std::string> result;
    for (const toml::node &element : *array) {
        if (!element.is_string()) {
            reject(key, "wrong type in the list: write strings in quotes");
            continue;
        }
        result.push_back(element.as_string()->get());
    }
    return result;
}

std::vector<double> TomlTable::numbers(std::string_view key)
{
    const toml::node *node = accessNode(*m_node, key);
    if (!node) {
        return {};
    }
    const toml::array *array = node->as_array();
    if (!array) {
        reject(key, "wrong type: write a list of numbers in square brackets");
        return {};
    }
    std::vector<double> result;
    for (const toml::node &element : *array) {
        if (!element.is_number()) {
            reject(key, "wrong type in the list: write numbers");
            continue;
        }
        result.push_back(element.value_or(0.0));
    }
    return result;
}

std::vector<TomlTable> TomlTable::tables(std::string_view key)
{
    const toml::node *node = accessNode(*m_node, key);
    if (!node) {
        return {};
    }
    const toml::array *array = node->as_array();
    if (!array) {
        reject(key, "wrong type: write it as [[" + std::string(key) + "]]");
        return {};
    }
    std::vector<TomlTable> result;
    for (const toml::node &element : *array) {
        if (!element.is_table()) {
            reject(key, "wrong type in the list: write it as [[" + std::string(key) + "]]");
            continue;
        }
        auto child = std::make_shared<Node>();
        child->table = element.as_table();
        child->path = m_node->path + std::string(key) + "[" + std::to_string(result.size()) + "].";
        m_node->children.push_back(child);
        result.push_back(TomlTable(m_document, child));
    }
    return result;
}

TomlTable TomlTable::table(std::string_view key)
{
    const toml::node *node = accessNode(*m_node, key);
    auto child = std::make_shared<Node>();
    child->path = m_node->path + std::string(key) + ".";
    if (node && !node->is_table()) {
        reject(key, "wrong type: write it as [" + std::string(key) + "]");
    } else if (node) {
        child->table = node->as_table();
    }
    m_node->children.push_back(child);
    return TomlTable(m_document, child);
}

TomlDocument::TomlDocument()
    : d(std::make_unique<Private>())
{
}

TomlDocument::~TomlDocument() = default;

Result<std::unique_ptr<TomlDocument>> TomlDocument::parse(std::string_view toml, const std::string &fileName)
{
    std::unique_ptr<TomlDocument> document(new TomlDocument);
    document->d->fileName = fileName;
    try {
        document->d->table = toml::parse(toml, fileName);
    } catch (const toml::parse_error &failure) {
        return Error{ErrorKind::Invalid,
                     fileName + ":" + std::to_string(failure.source().begin.line) + ": not TOML: " + std::string(failure.description())
                         + ": correct this line"};
    }
    document->d->root->table = &document->d->table;
    return document;
}

Result<std::unique_ptr<TomlDocument>> TomlDocument::read(const std::string &fileName)
{
    const Result<std::string> text = readFile(fileName);
    if (!ok(text)) {
        return errorOf(text);
    }
    return parse(valueOf(text), fileName);
}

TomlTable TomlDocument::root()
{
    return TomlTable(this, d->root);
}

std::optional<Error> TomlDocument::finish()
{
    d->recordUnknownKeys(*d->root);
    if (d->problems.empty()) {
        return {};
    }
    std::string all;
    for (const std::string &problem : d->problems) {
        all += (all.empty() ? "" : "\n") + problem;
    }
    return Error{ErrorKind::Invalid, all};
}

Result<std::string> readFile(const std::string &fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    if (!file) {
        return Error{ErrorKind::NotFound, "'" + fileName + "' can't be read: check the path and the permissions"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().size() > MaxFileBytes) {
        return Error{ErrorKind::TooLarge, "'" + fileName + "' is larger than 16 MiB: split it"};
    }
    return text.str();
}

}
