package org.elderhitch.sweeps

import java.io.File
import java.nio.file.Files
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class DescriptionReaderTest {
    private val folder = Files.createTempDirectory("sweeps").toFile()

    @AfterTest
    fun deleteFolder() {
        folder.deleteRecursively()
    }

    private fun file(name: String, bytes: ByteArray): File = File(folder, name).apply { writeBytes(bytes) }

    private fun expectRefused(expectedText: String, read: () -> Unit) {
        val message = assertFailsWith<BadTemplate>(expectedText) { read() }.message.orEmpty()
        assertTrue(expectedText in message, "$message should contain $expectedText")
        assertTrue('\n' !in message, "not one line: $message")
    }

    @Test
    fun `a CSV table may have quoted fields, blank lines and a byte order mark`() {
        val table = DescriptionReader.readCsv(
            file("t.csv", "\uFEFFlake,threshold\n\"tana, north\", 0.5\n\nziway,\n".encodeToByteArray()),
        )
        assertEquals(listOf("lake", "threshold"), table.columns)
        assertEquals(2, table.count)
        assertEquals(mapOf("lake" to "tana, north", "threshold" to "0.5"), table.values(0))
        assertEquals(mapOf("lake" to "ziway"), table.values(1))
    }

    @Test
    fun `invalid CSV tables are refused`() {
        expectRefused("not UTF-8") {
            DescriptionReader.readCsv(
                file(
                    "latin.csv",
                    byteArrayOf('a'.code.toByte(), '\n'.code.toByte(), 0xE9.toByte(), '\n'.code.toByte()),
                ),
            )
        }
        expectRefused("stands twice") { DescriptionReader.readCsv(file("twice.csv", "a,a\n1,2\n".encodeToByteArray())) }
        expectRefused("empty") { DescriptionReader.readCsv(file("empty.csv", ByteArray(0))) }
        expectRefused("none") { DescriptionReader.readCsv(file("header.csv", "a,b\n".encodeToByteArray())) }
        expectRefused("no such file") { DescriptionReader.readCsv(File(folder, "nowhere.csv")) }
        expectRefused("more than 100000 points") {
            DescriptionReader.readCsv(file("long.csv", ("a\n" + "1\n".repeat(100_001)).encodeToByteArray()))
        }
    }

    /** Reading stops at the size limit: a file of a gigabyte costs no more than one of four megabytes. */
    @Test
    fun `an endless table is refused at the size limit without reading on`() {
        var read = 0L
        val endless = object : java.io.Reader() {
            override fun read(to: CharArray, off: Int, len: Int): Int {
                for (n in 0 until len) to[off + n] = if ((read + n) % 1000 == 999L) '\n' else 'x'
                read += len
                return len
            }

            override fun close() = Unit
        }
        expectRefused("more than ${Table.MAX_BYTES} bytes") { DescriptionReader.readCsv("endless", endless) }
        assertTrue(read < 2L * Table.MAX_BYTES, "$read characters read")
    }

    @Test
    fun `scripts give the same points for the same seed, and can't reach files, clocks or other modules`() {
        val script =
            "local t = {} for i = 1, 20 do t[i] = { threshold = math.random(), tasks = math.random(1, 9) } end " +
                "return t"
        fun points(seed: Long) =
            DescriptionReader.runScript("s.lua", script, seed).let { table -> List(table.count) { table.values(it) } }
        assertEquals(points(7), points(7))
        assertNotEquals(points(7), points(8))
        assertEquals(20, points(1).size)
        expectRefused("takes too long") { DescriptionReader.runScript("s.lua", "while true do end", 1) }
        for (call in listOf("io.open('x')", "os.time()", "require('io')", "dofile('x')")) {
            expectRefused("s.lua") {
                DescriptionReader.runScript("s.lua", "return { { a = $call } }", 1)
            }
        }
        expectRefused("is no table") { DescriptionReader.runScript("s.lua", "return { 1, 2 }", 1) }
    }

    @Test
    fun `a template file may name a table in its own directory`() {
        file("points.csv", "threshold\n0.1\n0.2\n".encodeToByteArray())
        val template = """{"params":${ExampleSweeps.PARAMS},"job":{"lotClass":"a"},"points":{"table":"points.csv"}}"""
        assertEquals(2, DescriptionReader.read(file("t.json", template.encodeToByteArray()), null).points.count)
        expectRefused("not JSON") { DescriptionReader.read(file("bad.json", "{".encodeToByteArray()), null) }
        expectRefused("over") {
            DescriptionReader.read(file("huge.json", ByteArray(300_000) { ' '.code.toByte() }), null)
        }
    }
}
