package org.elderhitch.sweeps

import de.siegmar.fastcsv.reader.CsvParseException
import de.siegmar.fastcsv.reader.CsvReader
import de.siegmar.fastcsv.reader.CsvRecord
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.LuaScript
import org.elderhitch.settings.LuaSection
import org.elderhitch.settings.ScriptException
import java.io.File
import java.io.IOException
import java.io.Reader
import java.io.UncheckedIOException
import java.nio.charset.CharacterCodingException
import java.nio.charset.CodingErrorAction

/**
 * Reads a sweep from the user's files: the template, and points from a CSV table or a Lua script. Runs on the client's
 * machine; only the resulting [Description] is sent.
 */
public object DescriptionReader {
    private const val MAX_TEMPLATE_BYTES = 256 * 1024L

    /** [table]: a CSV file that replaces the points in [file]. Throws [BadTemplate] with a message of one line. */
    public fun read(file: File, table: File?): Description {
        if (!file.isFile) throw BadTemplate("$file: no such file")
        if (file.length() > MAX_TEMPLATE_BYTES) throw BadTemplate("$file: over $MAX_TEMPLATE_BYTES bytes")
        val json = try {
            Json.parseObject(file.readBytes())
        } catch (e: MalformedJson) {
            throw BadTemplate("$file: ${e.message}", e)
        } catch (e: IOException) {
            throw BadTemplate("$file can't be read: ${e.message}", e)
        }
        return Description.parse(json, table?.let(::readCsv) ?: points(json, file))
    }

    /** Null if the points are given in the template file itself. */
    private fun points(json: JsonObject, file: File): Points? {
        val from = json.objectOrNull("points") ?: throw BadTemplate("points: missing")
        from.stringOrNull("script")?.let { return runScript(file.name, it, json.longOrNull("seed") ?: 0) }
        from.stringOrNull("table")?.let { name -> return readCsv(File(file.absoluteFile.parentFile, name)) }
        return null
    }

    /** Reads the file as a stream: one that is too large is refused without being held. Throws [BadTemplate]. */
    public fun readCsv(file: File): Table {
        if (!file.isFile) throw BadTemplate("$file: no such file")
        val decoder = Charsets.UTF_8.newDecoder().onMalformedInput(
            CodingErrorAction.REPORT,
        ).onUnmappableCharacter(CodingErrorAction.REPORT)
        return try {
            java.io.InputStreamReader(file.inputStream(), decoder).use { readCsv(file.name, it) }
        } catch (_: CharacterCodingException) {
            throw BadTemplate("${file.name}: not UTF-8")
        } catch (e: UncheckedIOException) {
            val encoding = e.cause is CharacterCodingException
            val reason = if (encoding) ": not UTF-8" else " can't be read: ${e.cause?.message}"
            throw BadTemplate(file.name + reason, e)
        } catch (e: IOException) {
            throw BadTemplate("${file.name} can't be read: ${e.message}", e)
        }
    }

    internal fun readCsv(name: String, from: Reader): Table = try {
        var builder: Table.Companion.Builder? = null
        CsvReader.builder().ignoreDifferentFieldCount(
            true,
        ).skipEmptyLines(true).ofCsvRecord(from).forEach { record: CsvRecord ->
            val row = record.fields.map { it.trim() }
            val rows = builder
            if (rows == null) {
                builder =
                    Table.Companion.Builder(
                        row.mapIndexed { n, column ->
                            if (n == 0) {
                                column.removePrefix("\uFEFF")
                            } else {
                                column
                            }
                        },
                    )
            } else {
                rows.add(row)
            }
        }
        builder?.build() ?: throw BadTemplate("$name: empty")
    } catch (e: CsvParseException) {
        val cause = e.cause
        throw if (cause is CharacterCodingException || cause?.cause is CharacterCodingException) {
            BadTemplate("$name: not UTF-8")
        } else {
            BadTemplate("$name: ${e.message}")
        }
    } catch (e: BadTemplate) {
        throw BadTemplate("$name: ${e.message}", e)
    }

    /**
     * Runs a Lua script that returns a list of tables, one per point. The script has the variable `seed` and a random
     * generator with that seed, but no clock and no files, so the same script and seed give the same points. The
     * points are stored, not the script. Throws [BadTemplate].
     */
    public fun runScript(name: String, runScript: String, seed: Long): Table {
        val prelude = "local seed = $seed; local state = (seed * 2654435761 + 12345) % 2147483648; " +
            "local function random() state = (state * 1103515245 + 12345) % 2147483648; " +
            "return state / 2147483648 end; " +
            "math.random = function(a, b) local r = random(); if not a then return r end; " +
            "if not b then a, b = 1, a end; return a + math.floor(r * (b - a + 1)) end; math.randomseed = nil; "
        val rows = try {
            rowsOf(LuaScript.table(name, prelude + runScript))
        } catch (e: ScriptException) {
            throw BadTemplate(e.message.orEmpty(), e)
        }
        val columns = rows.flatMap { it.keys }.distinct().sorted()
        val builder = Table.Companion.Builder(columns)
        rows.forEach { row -> builder.add(columns.map { row[it]?.toString().orEmpty() }) }
        return builder.build()
    }

    private fun rowsOf(list: LuaSection): List<Map<String, Any?>> = list.sections().map { row ->
        row.keys.associateWith { row.jsonValueOrNull(it) }
    }
}
