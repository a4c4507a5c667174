package org.lentilquay.standins

fun main() = println("lentilquay standins")
