#pragma once

// The document module: reads the operators' document, which is JSON with
// comments, validates it against its schema and the cross-field rules, writes
// it in canonical form, and compares two documents.
//
//   document_error.hpp       a violated rule: path, value found, rule
//   document_errors.hpp      all rules that a document violates
//   document_reader.hpp      text to system_document
//   document_writer.hpp      system_document to canonical text
//   document_schema.hpp      the JSON schema
//   strict_json.hpp          JSON text to a value, with the reader's checks
//   document_change.hpp      one difference between two documents
//   document_difference.hpp  all differences between two documents

#include "crowlink/document/document_change.hpp"
#include "crowlink/document/document_difference.hpp"
#include "crowlink/document/document_error.hpp"
#include "crowlink/document/document_errors.hpp"
#include "crowlink/document/document_reader.hpp"
#include "crowlink/document/document_schema.hpp"
#include "crowlink/document/document_writer.hpp"
#include "crowlink/document/strict_json.hpp"
