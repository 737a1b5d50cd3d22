package org.elderhitch.sweeps

import java.io.File
import java.nio.file.Files
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class SourcesTest {
    private val folder = Files.createTempDirectory("sweeps").toFile()

    @AfterTest
    fun clean() {
        folder.deleteRecursively()
    }

    private fun file(name: String, bytes: ByteArray): File = File(folder, name).apply { writeBytes(bytes) }

    private fun refused(says: String, read: () -> Unit) {
        val message = assertFailsWith<BadTemplate>(says) { read() }.message.orEmpty()
        assertTrue(says in message, "$message should say $says")
        assertTrue('\n' !in message, "one line: $message")
    }

    @Test
    fun `a table's rows, quoted or not, with a mark at its beginning`() {
        val table = Sources.csv(
            file("t.csv", "\uFEFFlake,threshold\n\"tana, north\", 0.5\n\nziway,\n".encodeToByteArray()),
        )
        assertEquals(listOf("lake", "threshold"), table.columns)
        assertEquals(2, table.count)
        assertEquals(mapOf("lake" to "tana, north", "threshold" to "0.5"), table.values(0))
        assertEquals(mapOf("lake" to "ziway"), table.values(1))
    }

    @Test
    fun `tables that can't be used`() {
        refused("not UTF-8") {
            Sources.csv(
                file(
                    "latin.csv",
                    byteArrayOf('a'.code.toByte(), '\n'.code.toByte(), 0xE9.toByte(), '\n'.code.toByte()),
                ),
            )
        }
        refused("stands twice") { Sources.csv(file("twice.csv", "a,a\n1,2\n".encodeToByteArray())) }
        refused("empty") { Sources.csv(file("empty.csv", ByteArray(0))) }
        refused("none") { Sources.csv(file("header.csv", "a,b\n".encodeToByteArray())) }
        refused("no such file") { Sources.csv(File(folder, "nowhere.csv")) }
        refused("more than 100000 points") {
            Sources.csv(file("long.csv", ("a\n" + "1\n".repeat(100_001)).encodeToByteArray()))
        }
    }

    /** What comes after what is too much is never read: a file of a gigabyte costs as much as one of four megabytes. */
    @Test
    fun `a table without end is refused after its first megabytes`() {
        var read = 0L
        val endless = object : java.io.Reader() {
            override fun read(to: CharArray, off: Int, len: Int): Int {
                for (n in 0 until len) to[off + n] = if ((read + n) % 1000 == 999L) '\n' else 'x'
                read += len
                return len
            }

            override fun close() = Unit
        }
        refused("more than ${Table.MOST_BYTES} bytes") { Sources.csv("endless", endless) }
        assertTrue(read < 2L * Table.MOST_BYTES, "$read characters read")
    }

    @Test
    fun `scripts give the same points for the same seed, and reach nothing`() {
        val script =
            "local t = {} for i = 1, 20 do t[i] = { threshold = math.random(), tasks = math.random(1, 9) } end " +
                "return t"
        fun points(seed: Long) =
            Sources.script("s.lua", script, seed).let { table -> List(table.count) { table.values(it) } }
        assertEquals(points(7), points(7))
        assertNotEquals(points(7), points(8))
        assertEquals(20, points(1).size)
        refused("takes too long") { Sources.script("s.lua", "while true do end", 1) }
        for (reach in listOf("io.open('x')", "os.time()", "require('io')", "dofile('x')")) {
            refused("s.lua") {
                Sources.script("s.lua", "return { { a = $reach } }", 1)
            }
        }
        refused("is no table") { Sources.script("s.lua", "return { 1, 2 }", 1) }
    }

    @Test
    fun `a template's file names its table beside it`() {
        file("points.csv", "threshold\n0.1\n0.2\n".encodeToByteArray())
        val template = """{"params":${Examples.PARAMS},"job":{"lotClass":"a"},"points":{"table":"points.csv"}}"""
        assertEquals(2, Sources.read(file("t.json", template.encodeToByteArray()), null).points.count)
        refused("not JSON") { Sources.read(file("bad.json", "{".encodeToByteArray()), null) }
        refused("over") { Sources.read(file("huge.json", ByteArray(300_000) { ' '.code.toByte() }), null) }
    }
}
