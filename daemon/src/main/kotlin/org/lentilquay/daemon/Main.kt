package org.lentilquay.daemon

fun main() = println("lentilquay daemon")
